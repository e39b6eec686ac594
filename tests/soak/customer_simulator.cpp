#include "soak/customer_simulator.hpp"

#include "wire_json.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace sequoiaroute::soak {

namespace {

using adapter::json;

constexpr core::duration submit_period{250};
constexpr core::duration state_period{200};
constexpr core::duration patience{3000};
constexpr core::duration retry_pause{400};
/// A call that is cut off sooner may not have been read.
constexpr core::duration unread_limit{200};
constexpr int tries_of_a_job = 5;
constexpr std::size_t states_at_once = 12;
constexpr double gang_share = 0.4;
constexpr double two_step_share = 0.2;
constexpr double cancel_share = 0.08;
constexpr double urgent_share = 0.4;

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
    submit_timer_ = loop_.every(submit_period, [this] {
        if (!is_finishing_)
            submit();
    });
    state_timer_ = loop_.every(state_period, [this] { ask_states(); });
}

customer_simulator::entry& customer_simulator::pick()
{
    return entries_[random_.below(entries_.size())];
}

void customer_simulator::call(entry& target, std::string const& method,
                              std::string const& id, std::string body,
                              event::http_client::callback done)
{
    event::http_headers const headers{
        {"Host", "jobs.example"},
        {"Authorization", "Bearer " + key},
        {"X-Deadline-Ms", fmt::format("{}", patience.count())}};
    auto const sent_at = loop_.now();
    client_.call(
        {target.address, method, id, headers, std::move(body), patience},
        [this, &target, method, id, sent_at,
         done = std::move(done)](event::http_reply const& reply) {
            auto const held = loop_.now() - sent_at;
            bool const is_cut = !reply.has_answer() && !reply.is_refused &&
                                held > unread_limit && held < patience;
            if (is_cut && target.is_only_stopping)
                checker_.on_broken_answer(target.name, method + " " + id);
            done(reply);
        });
}

void customer_simulator::submit()
{
    auto const id = fmt::format("{:016x}", ++submitted_);
    task_plan plan;
    plan.work = random_.between(core::duration(200), core::duration(2500));
    plan.room = {1000, 0, static_cast<std::int64_t>(1 + random_.below(4))};
    std::size_t const count = 1 + random_.below(4);
    auto& job = checker_.jobs()[id];
    job.is_gang = random_.happens(gang_share);
    if (job.is_gang)
        plan.gang_size = count;
    job.payload = plan.payload();
    job.step_sizes.assign(random_.happens(two_step_share) ? 2 : 1,
                          static_cast<std::int32_t>(count));
    json steps = json::array();
    for (std::size_t step = 0; step < job.step_sizes.size(); ++step) {
        json entry{{"Count", count},
                   {"Cpu", plan.room.millicores},
                   {"Gpu", plan.room.accelerators},
                   {"EstimateMs", plan.work.count()}};
        if (job.is_gang)
            entry["Gang"] = true;
        if (step > 0)
            entry["After"] = {step - 1};
        steps.push_back(std::move(entry));
    }
    auto const queue = random_.happens(urgent_share) ? "/urgent/" : "/patient/";
    send(queue + id, json{{"Spec", job.payload}, {"Steps", steps}}.dump(),
         tries_of_a_job);
}

void customer_simulator::send(std::string const& path, std::string const& body,
                              int tries)
{
    auto const id = path.substr(path.rfind('/') + 1);
    auto& target = pick();
    call(target, "POST", path, body,
         [this, path, body, id, tries](event::http_reply const& reply) {
             auto& job = checker_.jobs()[id];
             if (reply.is_success()) {
                 job.was_accepted = true;
                 asked_.insert(path);
                 if (random_.happens(cancel_share))
                     cancel(path);
                 return;
             }
             if (!is_refusal(reply.status) && !reply.is_refused)
                 job.may_be_stored = true;
             if (tries > 1) {
                 retries_.push_back(
                     loop_.after(retry_pause, [this, path, body, tries] {
                         send(path, body, tries - 1);
                     }));
             }
         });
}

void customer_simulator::ask_states()
{
    std::vector<std::string> open;
    for (auto const& path : asked_) {
        auto const& job = checker_.jobs()[path.substr(path.rfind('/') + 1)];
        if (!job.is_final)
            open.push_back(path);
    }
    for (std::size_t index = 0; index < std::min(open.size(), states_at_once);
         ++index)
        ask(open[random_.below(open.size())]);
}

void customer_simulator::ask(std::string const& path)
{
    auto const id = path.substr(path.rfind('/') + 1);
    call(pick(), "GET", path, {}, [this, id](event::http_reply const& reply) {
        constexpr int gone = 410;
        if (reply.status == gone)
            return checker_.on_unknown_job(id);
        if (!reply.is_success())
            return;
        auto const body = adapter::parse_object(reply.body);
        if (!body)
            return checker_.on_broken_answer("an entry", "the state of " + id);
        checker_.on_state(id, body->value("State", ""));
    });
}

void customer_simulator::cancel(std::string const& path)
{
    auto const id = path.substr(path.rfind('/') + 1);
    checker_.jobs()[id].is_cancelled = true;
    call(pick(), "DELETE", path, {},
         [this, id](event::http_reply const& reply) {
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
