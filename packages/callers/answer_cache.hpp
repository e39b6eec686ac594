#pragma once

#include "targets/urgent_request.hpp"

#include <cstddef>
#include <list>
#include <memory>
#include <mutex>
#include <string>

#include <absl/container/flat_hash_map.h>

namespace sequoiaroute::callers {

/// Caches the most recent answers of this entry, so that a repeated submission
/// or a lookup needs no call to a store or an agent. Evicts the oldest answers.
/// Thread-safe.
class answer_cache
{
public:
    struct cached_answer
    {
        std::string body_digest; ///< of the request body
        targets::request_answer answer;
    };

    /// @param max_bytes the capacity; an answer counts with its body, its key
    ///                  and a fixed overhead
    explicit answer_cache(std::size_t max_bytes = 32'000'000);

    /// Stores an answer, replaces an earlier one of the same key, and evicts
    /// the oldest ones beyond the capacity. An answer larger than the capacity
    /// is not stored.
    /// @param key see targets::claim_key()
    /// @param body_digest the digest of the request body
    /// @param answer the answer
    void insert(std::string const& key, std::string body_digest,
                targets::request_answer answer);

    /// @return the answer, or null if it is not cached
    std::shared_ptr<cached_answer const> find(std::string const& key) const;

private:
    struct item
    {
        std::string key;
        std::shared_ptr<cached_answer const> value;
        std::size_t bytes = 0;
    };

    void remove(std::list<item>::iterator position);

    std::size_t max_bytes_;
    mutable std::mutex mutex_;
    std::size_t bytes_ = 0;
    std::list<item> items_; ///< oldest first
    absl::flat_hash_map<std::string, std::list<item>::iterator> index_;
};

} // namespace sequoiaroute::callers
