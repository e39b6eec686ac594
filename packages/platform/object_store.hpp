#pragma once

#include "core/result.hpp"

#include <string>
#include <string_view>

namespace sequoiaroute::platform {

/// The platform's object store. Writing an existing key replaces the whole
/// object.
class object_store
{
public:
    virtual ~object_store() = default;

    /// Stores an object. Idempotent, so it can be retried after write_unknown.
    /// @param key the key of the object
    /// @param bytes the content
    /// @return ok; store_unavailable if the object was not stored;
    ///         write_unknown if it may have been stored
    virtual core::status put(std::string_view key, std::string_view bytes) = 0;

    /// Fetches an object.
    /// @param key the key of the object
    /// @return the content, not_found, or store_unavailable
    virtual core::result<std::string> fetch(std::string_view key) = 0;
};

} // namespace sequoiaroute::platform
