#pragma once

#include "event/event_loop.hpp"
#include "event/evhttp_client.hpp"
#include "soak/executor_model.hpp"
#include "soak/invariant_checker.hpp"
#include "soak/random_source.hpp"

#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace sequoiaroute::soak {

/// Customers who hand in jobs, ask for their state and cancel some. They keep
/// their connections and try another entry after a refusal.
class customer_simulator
{
public:
    /// An entry as customers reach it.
    struct entry
    {
        std::string name;
        std::string address;
        /// Nothing but a graceful stop may end its answers now.
        bool is_only_stopping = false;
    };

    customer_simulator(event::event_loop& loop, invariant_checker& checker,
                       random_source& random, std::vector<entry>& entries);

    /// Begins to hand in jobs.
    void start();

    /// Hands in no more jobs; states are still asked for.
    void finish() { is_finishing_ = true; }

    /// @return whether every accepted job was shown in a final state
    bool are_all_final() const;

    std::string key = "key-1"; ///< proves who the customers are

private:
    void submit();
    void send(std::string const& id, std::string const& body, int tries);
    void ask_states();
    void ask(std::string const& id);
    void cancel(std::string const& id);
    entry& pick();
    void call(entry& target, std::string const& method, std::string const& id,
              std::string body, event::http_client::callback done);

    event::event_loop& loop_;
    invariant_checker& checker_;
    random_source& random_;
    std::vector<entry>& entries_;
    event::evhttp_client client_;
    bool is_finishing_ = false;
    std::size_t submitted_ = 0;
    std::set<std::string> asked_;
    std::unique_ptr<event::timer> submit_timer_;
    std::unique_ptr<event::timer> state_timer_;
    std::list<std::unique_ptr<event::timer>> retries_;
};

} // namespace sequoiaroute::soak
