#pragma once

#include "stand_ins/control.hpp"

#include <map>

namespace sequoiaroute::stand_ins {

/// A stand-in of the object store of the platform that keeps the objects in
/// memory. Faults in section /objects: down (answer 503), delay_ms, frozen, and
/// for a number of writes lose_answers (store, then drop the connection) and
/// drop_before (drop the connection without storing).
class object_store_stand_in
{
public:
    explicit object_store_stand_in(control& control) : control_(control) {}

    /// Adds routes for PUT and GET under /objects/.
    /// @param server the server to add the routes to
    void serve(http::http_server& server);

private:
    http::http_response put(std::string const& key, std::string const& bytes);
    http::http_response fetch(std::string const& key);

    control& control_;
    std::mutex mutex_;
    std::map<std::string, std::string> objects_;
};

} // namespace sequoiaroute::stand_ins
