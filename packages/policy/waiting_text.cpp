#include "policy/waiting_text.hpp"

#include "policy/gang_fit.hpp"

#include <array>

#include <fmt/format.h>

namespace sequoiaroute::policy {

namespace {

std::string count_in_words(int count)
{
    static constexpr std::array words{"no",   "one", "two",   "three", "four",
                                      "five", "six", "seven", "eight", "nine"};
    if (count >= 0 && static_cast<std::size_t>(count) < words.size())
        return words.at(static_cast<std::size_t>(count));
    return std::to_string(count);
}

} // namespace

std::string waiting_text(job_view const& job, int jobs_ahead)
{
    auto text = fmt::format("waiting for {}", describe_need(job));
    if (jobs_ahead == 0)
        return text + "; it is next";
    return text + fmt::format("; {} {} ahead", count_in_words(jobs_ahead),
                              jobs_ahead == 1 ? "job is" : "jobs are");
}

} // namespace sequoiaroute::policy
