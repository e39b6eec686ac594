#include "soak/customer_simulator.hpp"

#include "wire_json.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace sequoiaroute::soak {

namespace {

using adapter::json;

constexpr core::duration submit_period{250};
constexpr core::duration min_work_time{200};
constexpr core::duration poll_period{200};
constexpr core::duration request_timeout{3000};
constexpr core::duration retry_delay{400};
/// If a connection closes sooner, the entry may not have read the request.
constexpr core::duration min_unanswered_time{200};
constexpr int max_submit_attempts = 5;
constexpr std::size_t states_per_poll = 12;
// Probabilities for each job.
constexpr double two_step_probability = 0.2;
constexpr double cancel_probability = 0.08;
constexpr double urgent_probability = 0.4;
constexpr std::size_t min_wide_job_tasks = 100;
constexpr std::size_t max_wide_job_tasks = 650;

/// @return whether a status guarantees that the job was not accepted
bool is_refusal(int status)
{
    return status == 429 || status == 503;
}

} // namespace

customer_simulator::customer_simulator(event::event_loop& loop,
                                       invariant_checker& checker,
                                       random_source& random,
                                       std::vector<entry>& entries)
    : loop_(loop), checker_(checker), random_(random), entries_(entries),
      client_(loop)
{
}

void customer_simulator::start()
{
    auto const period =
        submit_period * max_work_time.count() / usual_max_work_time.count();
    submit_timer_ = loop_.every(period, [this] {
        if (!is_finishing_)
            submit();
    });
    poll_timer_ = loop_.every(poll_period, [this] { poll_states(); });
}

customer_simulator::entry& customer_simulator::pick_entry()
{
    return entries_[random_.below(entries_.size())];
}

void customer_simulator::call(entry& target, std::string const& method,
                              std::string const& path, std::string body,
                              event::http_client::callback done)
{
    event::http_headers const headers{
        {"Host", "jobs.example"},
        {"Authorization", "Bearer " + key},
        {"X-Deadline-Ms", fmt::format("{}", request_timeout.count())}};
    auto const sent_at = loop_.now();
    client_.call(
        {target.address, method, path, headers, std::move(body),
         request_timeout},
        [this, &target, method, path, sent_at,
         done = std::move(done)](event::http_call_result const& reply) {
            auto const elapsed = loop_.now() - sent_at;
            bool const is_broken_off =
                !reply.has_response() && !reply.is_connection_refused &&
                elapsed > min_unanswered_time && elapsed < request_timeout;
            if (is_broken_off && target.must_complete_responses)
                checker_.on_broken_response(target.name, method + " " + path);
            done(reply);
        });
}

std::string customer_simulator::next_job_id()
{
    return fmt::format("{:016x}", ++submitted_count_);
}

void customer_simulator::submit_wide_job()
{
    auto const id = next_job_id();
    task_plan plan;
    plan.work_time = random_.between(core::duration(400), core::duration(4000));
    plan.demand = {10, 0, 0};
    auto const task_count =
        min_wide_job_tasks +
        random_.below(max_wide_job_tasks - min_wide_job_tasks);
    auto& job = checker_.jobs()[id];
    job.is_wide = true;
    job.payload = plan.payload();
    job.step_sizes = {static_cast<std::int32_t>(task_count)};
    json const step{{"Count", task_count},
                    {"Cpu", plan.demand.millicores},
                    {"EstimateMs", plan.work_time.count()}};
    send("/patient/" + id,
         json{{"Spec", job.payload}, {"Steps", {step}}}.dump(),
         max_submit_attempts);
}

void customer_simulator::submit()
{
    if (wide_job_probability > 0 && random_.happens(wide_job_probability))
        return submit_wide_job();
    auto const id = next_job_id();
    task_plan plan;
    plan.work_time = random_.between(min_work_time, max_work_time);
    plan.demand = {1000, 0, static_cast<std::int64_t>(1 + random_.below(4))};
    std::size_t const task_count = 1 + random_.below(4);
    auto& job = checker_.jobs()[id];
    job.is_gang = random_.happens(gang_probability);
    if (job.is_gang)
        plan.gang_size = task_count;
    job.payload = plan.payload();
    job.step_sizes.assign(random_.happens(two_step_probability) ? 2 : 1,
                          static_cast<std::int32_t>(task_count));
    json steps = json::array();
    for (std::size_t step = 0; step < job.step_sizes.size(); ++step) {
        json step_json{{"Count", task_count},
                       {"Cpu", plan.demand.millicores},
                       {"Gpu", plan.demand.accelerators},
                       {"EstimateMs", plan.work_time.count()}};
        if (job.is_gang)
            step_json["Gang"] = true;
        if (step > 0)
            step_json["After"] = {step - 1};
        steps.push_back(std::move(step_json));
    }
    auto const path_prefix =
        random_.happens(urgent_probability) ? "/urgent/" : "/patient/";
    send(path_prefix + id, json{{"Spec", job.payload}, {"Steps", steps}}.dump(),
         max_submit_attempts);
}

void customer_simulator::send(std::string const& path, std::string const& body,
                              int attempts_left)
{
    auto const id = path.substr(path.rfind('/') + 1);
    auto& target = pick_entry();
    call(target, "POST", path, body,
         [this, path, body, id,
          attempts_left](event::http_call_result const& reply) {
             auto& job = checker_.jobs()[id];
             if (reply.is_success()) {
                 job.was_accepted = true;
                 job.accepted_at = loop_.now();
                 accepted_paths_.insert(path);
                 if (random_.happens(cancel_probability))
                     cancel(path);
                 return;
             }
             if (!is_refusal(reply.status) && !reply.is_connection_refused)
                 job.may_be_accepted = true;
             if (attempts_left > 1) {
                 retries_.push_back(loop_.after(
                     retry_delay, [this, path, body, attempts_left] {
                         send(path, body, attempts_left - 1);
                     }));
             }
         });
}

std::vector<std::string> customer_simulator::open_paths()
{
    std::vector<std::string> paths;
    for (auto const& path : accepted_paths_) {
        auto const& job = checker_.jobs()[path.substr(path.rfind('/') + 1)];
        if (!job.is_final)
            paths.push_back(path);
    }
    return paths;
}

void customer_simulator::poll_states()
{
    auto const paths = open_paths();
    for (std::size_t index = 0; index < std::min(paths.size(), states_per_poll);
         ++index)
        poll_state(paths[random_.below(paths.size())]);
}

void customer_simulator::cancel_jobs(double share)
{
    for (auto const& path : open_paths()) {
        if (random_.happens(share))
            cancel(path);
    }
}

void customer_simulator::poll_state(std::string const& path)
{
    auto const id = path.substr(path.rfind('/') + 1);
    call(pick_entry(), "GET", path, {},
         [this, id](event::http_call_result const& reply) {
             constexpr int gone = 410;
             if (reply.status == gone)
                 return checker_.on_unknown_job(id);
             if (!reply.is_success())
                 return;
             auto const body = adapter::parse_object(reply.body);
             if (!body)
                 return checker_.on_broken_response(
                     "an entry", "the response with the state of " + id);
             checker_.on_state(id, body->value("State", ""));
         });
}

void customer_simulator::cancel(std::string const& path)
{
    auto const id = path.substr(path.rfind('/') + 1);
    checker_.jobs()[id].is_cancelled = true;
    call(pick_entry(), "DELETE", path, {},
         [this, id](event::http_call_result const& reply) {
             if (reply.is_success())
                 checker_.jobs()[id].cancel_confirmed_at = loop_.now();
         });
}

bool customer_simulator::are_all_final() const
{
    return std::all_of(
        checker_.jobs().begin(), checker_.jobs().end(), [](auto const& entry) {
            auto const& job = entry.second;
            return !job.was_accepted || job.is_cancelled || job.is_final;
        });
}

} // namespace sequoiaroute::soak
