#include "http/civetweb_library.hpp"

#include <mutex>

#include <civetweb.h>

namespace sequoiaroute::http {

void initialise_civetweb()
{
    static std::once_flag once;
    std::call_once(once, [] { mg_init_library(MG_FEATURES_DEFAULT); });
}

} // namespace sequoiaroute::http
