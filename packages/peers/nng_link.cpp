#include "peers/nng_link.hpp"

#include "core/log.hpp"

#include <utility>

namespace sequoiaroute::peers {

nng_link::nng_link(std::string address, sender_identity identity,
                   link_options const& options)
    : address_(std::move(address)), identity_(std::move(identity)),
      options_(options), last_call_ended_at_(clock_.now())
{
}

envelope nng_link::make_envelope(std::string_view kind, core::json body) const
{
    return {std::string(kind), identity_.sender, identity_.incarnation,
            identity_.key, std::move(body)};
}

core::result<std::shared_ptr<nng_connection>> nng_link::begin_call()
{
    std::lock_guard const lock(mutex_);
    if (current_ == nullptr) {
        SEQUOIA_TRY_INTO(current_, nng_connection::create(address_, options_));
    }
    // Only silence while a call is in flight counts.
    if (calls_in_flight_++ == 0)
        last_answer_at_ = last_ping_at_ = clock_.now();
    return current_;
}

void nng_link::end_call(bool is_answered, nng_connection const& connection)
{
    std::lock_guard const lock(mutex_);
    --calls_in_flight_;
    last_call_ended_at_ = clock_.now();
    if (is_answered && &connection == current_.get()) {
        last_answer_at_ = last_call_ended_at_;
        is_suspect_ = false;
    }
}

core::result<answer_envelope> nng_link::call(std::string_view kind,
                                             core::json const& body,
                                             core::duration time_limit)
{
    SEQUOIA_TRY_INTO(auto const connection, begin_call());
    auto outcome = connection->call(make_envelope(kind, body), time_limit);
    end_call(is_ok(outcome), *connection);
    return outcome;
}

void nng_link::probe()
{
    std::lock_guard const lock(mutex_);
    if (current_ == nullptr)
        return;
    if (calls_in_flight_ == 0) {
        current_probe_.reset();
        clear_candidate();
        return;
    }
    auto const now = clock_.now();
    probe_current(now);
    probe_candidate(now);
}

void nng_link::probe_current(core::time_point now)
{
    if (current_probe_ != nullptr && current_probe_->is_done()) {
        if (current_probe_->is_answered()) {
            last_answer_at_ = now;
            is_suspect_ = false;
            clear_candidate();
        }
        current_probe_.reset();
    }
    if (current_probe_ == nullptr &&
        now - last_ping_at_ >= options_.ping_period) {
        last_ping_at_ = now;
        current_probe_ = std::make_unique<link_probe>(
            current_, make_envelope(message_kind::ping, nullptr),
            options_.silence_limit);
    }
}

void nng_link::probe_candidate(core::time_point now)
{
    if (candidate_ == nullptr) {
        if (now - last_answer_at_ >= options_.silence_limit)
            open_candidate();
        return;
    }
    if (!candidate_probe_->is_done())
        return;
    if (!candidate_probe_->is_answered()) {
        is_suspect_ = true;
        clear_candidate();
        return;
    }
    core::log(core::log_level::warning,
              "replaced a connection that stopped delivering data",
              {{"address", address_}});
    current_probe_.reset();
    // The calls in flight share ownership, so the socket is closed when the
    // last of them has returned.
    auto const silent = std::exchange(current_, std::move(candidate_));
    clear_candidate();
    last_answer_at_ = now;
    is_suspect_ = false;
    ++replaced_connections_;
    silent->abort_calls();
}

void nng_link::open_candidate()
{
    auto opened = nng_connection::create(address_, options_);
    if (!is_ok(opened))
        return;
    candidate_ = value(std::move(opened));
    candidate_probe_ = std::make_unique<link_probe>(
        candidate_, make_envelope(message_kind::ping, nullptr),
        options_.silence_limit);
}

void nng_link::clear_candidate()
{
    candidate_probe_.reset();
    candidate_.reset();
}

bool nng_link::is_idle() const
{
    std::lock_guard const lock(mutex_);
    return calls_in_flight_ == 0 &&
           clock_.now() - last_call_ended_at_ >= options_.idle_timeout;
}

} // namespace sequoiaroute::peers
