#pragma once

#include "soak/test_system.hpp"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace sequoiaroute::soak {

/// Draws faults from the seed, lets them begin and end. They overlap and come
/// in series.
class fault_injector
{
public:
    fault_injector(event::event_loop& loop, random_source& random,
                   test_system& system);

    /// Begins to disturb.
    void start();

    /// Ends all faults; what is down is started.
    void heal();

    /// @return how often each kind of fault came
    std::map<std::string, std::size_t> const& counts() const { return counts_; }

private:
    void draw();
    void begin(std::string const& kind, std::function<void()> end,
               core::duration length);
    void disturb_store();
    void disturb_link();
    void disturb_process();
    void disturb_executor();
    void change_rules();
    member& any_member();
    void restart_later(member& target);

    event::event_loop& loop_;
    random_source& random_;
    test_system& system_;
    bool is_healed_ = false;
    std::size_t changes_ = 1;
    std::map<std::string, std::size_t> counts_;
    std::unique_ptr<event::timer> draw_timer_;
    std::list<std::unique_ptr<event::timer>> ends_;
};

} // namespace sequoiaroute::soak
