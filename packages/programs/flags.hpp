#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <absl/flags/declare.h>

// The flags of all commands. Each command accepts only some of them; see
// command_line.cpp.

ABSL_DECLARE_FLAG(std::string, settings);
ABSL_DECLARE_FLAG(std::vector<std::string>, entries);
ABSL_DECLARE_FLAG(std::string, key_file);
ABSL_DECLARE_FLAG(bool, json);
ABSL_DECLARE_FLAG(std::string, plot);
ABSL_DECLARE_FLAG(std::int64_t, generation);
ABSL_DECLARE_FLAG(std::string, request_id);
ABSL_DECLARE_FLAG(std::string, service);
ABSL_DECLARE_FLAG(std::string, body_file);
ABSL_DECLARE_FLAG(std::int64_t, time_limit_ms);
ABSL_DECLARE_FLAG(bool, unrepeatable);
ABSL_DECLARE_FLAG(bool, urgent);
ABSL_DECLARE_FLAG(bool, wait);
ABSL_DECLARE_FLAG(bool, watch);
ABSL_DECLARE_FLAG(bool, queued);
ABSL_DECLARE_FLAG(bool, counters);
ABSL_DECLARE_FLAG(std::string, job_id);
ABSL_DECLARE_FLAG(std::string, kind);
ABSL_DECLARE_FLAG(std::string, command);
ABSL_DECLARE_FLAG(std::string, input_file);
ABSL_DECLARE_FLAG(std::string, within);
ABSL_DECLARE_FLAG(std::int64_t, members);
ABSL_DECLARE_FLAG(std::int64_t, cores);
ABSL_DECLARE_FLAG(std::int64_t, memory_megabytes);
ABSL_DECLARE_FLAG(std::int64_t, accelerators);
ABSL_DECLARE_FLAG(std::int64_t, declared_run_time_seconds);
ABSL_DECLARE_FLAG(std::int64_t, deadline_seconds);
