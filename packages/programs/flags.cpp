#include "programs/flags.hpp"

#include <absl/flags/flag.h>

ABSL_FLAG(std::string, settings, "", "INI file with the settings of the entry");
ABSL_FLAG(std::vector<std::string>, entries, {"127.0.0.1:8080"},
          "HTTP addresses of entries, IP:PORT separated by commas");
ABSL_FLAG(std::string, key_file, "",
          "file with the key of the customer or operator");
ABSL_FLAG(bool, json, false, "print the answer as JSON");
ABSL_FLAG(std::string, plot, "",
          "file to which the time line is written as SVG");
ABSL_FLAG(std::int64_t, generation, -1,
          "generation from which the rule file was edited");
ABSL_FLAG(std::string, request_id, "", "id of the request; generated if empty");
ABSL_FLAG(std::string, service, "", "executor service of the request");
ABSL_FLAG(std::string, body_file, "", "file with the body of the request");
ABSL_FLAG(std::int64_t, time_limit_ms, 30'000,
          "time limit of the request in milliseconds");
ABSL_FLAG(bool, unrepeatable, false, "run at most once");
ABSL_FLAG(bool, urgent, false,
          "place the job before other jobs of its customer");
ABSL_FLAG(bool, wait, false,
          "wait for the end of the work and show its progress");
ABSL_FLAG(bool, watch, false,
          "poll the job and show its progress until it has ended");
ABSL_FLAG(bool, queued, false, "cancel all queued jobs of the customer");
ABSL_FLAG(bool, counters, false, "print only the counters");
ABSL_FLAG(std::string, job_id, "", "id of the job; generated if empty");
ABSL_FLAG(std::string, kind, "", "kind of the job's work");
ABSL_FLAG(std::string, command, "", "command for the task runtime");
ABSL_FLAG(std::string, input_file, "", "file with the input of the job");
ABSL_FLAG(std::string, within, "any",
          "locality of the members: any, data_centre, rack or worker");
ABSL_FLAG(std::int64_t, members, 1, "number of tasks that run together");
ABSL_FLAG(std::int64_t, cores, 1, "CPU cores of each member");
ABSL_FLAG(std::int64_t, memory_megabytes, 0,
          "memory of each member in megabytes");
ABSL_FLAG(std::int64_t, accelerators, 0, "accelerators of each member");
ABSL_FLAG(std::int64_t, declared_run_time_seconds, 0,
          "expected run time of the job in seconds");
ABSL_FLAG(std::int64_t, deadline_seconds, 0,
          "seconds after its submission by which the job must end, 0 for none");
