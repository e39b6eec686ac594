#pragma once

#include "core/result.hpp"
#include "jobs/progress.hpp"
#include "jobs/worker_report.hpp"

#include <string>
#include <string_view>

namespace sequoiaroute::jobs {

// Encoding of the values of stored rows as JSON. Each decoder returns the
// value, or bad_request with the faulty field if the text is not valid.

std::string encode(submission const& value);
core::result<submission> decode_submission(std::string_view text);

std::string encode(job_progress const& value);
core::result<job_progress> decode_progress(std::string_view text);

std::string encode(worker_report const& value);
core::result<worker_report> decode_report(std::string_view text);

std::string encode(run_order const& value);
core::result<run_order> decode_order(std::string_view text);

} // namespace sequoiaroute::jobs
