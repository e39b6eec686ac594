#pragma once

#include "peers/link.hpp"

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace sequoiaroute::support {

/// Links that call handlers directly. An address without a handler is
/// unreachable.
class fake_links final : public peers::link_pool
{
public:
    std::shared_ptr<peers::link> link_to(std::string_view address) override
    {
        return std::make_shared<fake_link>(*this, std::string(address));
    }

    /// Serves an address.
    void set_handler(std::string const& address, peers::request_handler handler)
    {
        std::lock_guard const lock(mutex_);
        handlers_[address] = std::move(handler);
    }

    /// Makes an address unreachable.
    void remove_handler(std::string const& address)
    {
        std::lock_guard const lock(mutex_);
        handlers_.erase(address);
    }

private:
    class fake_link final : public peers::link
    {
    public:
        fake_link(fake_links& links, std::string address)
            : links_(links), address_(std::move(address))
        {
        }

        core::result<peers::answer_envelope>
        call(std::string_view kind, core::json const& body,
             core::duration /*time_limit*/) override
        {
            auto const handler = links_.handler_of(address_);
            if (!handler) {
                return core::error{core::result_code::unreachable,
                                   "no such process"};
            }
            return handler({std::string(kind), "test", "test", {}, body});
        }

    private:
        fake_links& links_;
        std::string address_;
    };

    peers::request_handler handler_of(std::string const& address)
    {
        std::lock_guard const lock(mutex_);
        auto const found = handlers_.find(address);
        return found == handlers_.end() ? nullptr : found->second;
    }

    std::mutex mutex_;
    std::map<std::string, peers::request_handler> handlers_;
};

} // namespace sequoiaroute::support
