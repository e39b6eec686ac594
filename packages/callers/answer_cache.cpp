#include "callers/answer_cache.hpp"

namespace sequoiaroute::callers {

namespace {

// Estimated memory of an item besides its key and body. Without it, the cache
// would grow almost without bound if answers are empty.
constexpr std::size_t item_overhead_bytes = 512;

} // namespace

answer_cache::answer_cache(std::size_t max_bytes) : max_bytes_(max_bytes) {}

void answer_cache::insert(std::string const& key, std::string body_digest,
                          targets::request_answer answer)
{
    auto const bytes = answer.body.size() + key.size() + item_overhead_bytes;
    if (bytes > max_bytes_)
        return;
    auto value = std::make_shared<cached_answer const>(
        cached_answer{std::move(body_digest), std::move(answer)});
    std::lock_guard const lock(mutex_);
    if (auto const found = index_.find(key); found != index_.end())
        remove(found->second);
    while (bytes_ + bytes > max_bytes_)
        remove(items_.begin());
    bytes_ += bytes;
    index_[key] =
        items_.insert(items_.end(), item{key, std::move(value), bytes});
}

std::shared_ptr<answer_cache::cached_answer const>
answer_cache::find(std::string const& key) const
{
    std::lock_guard const lock(mutex_);
    auto const found = index_.find(key);
    return found == index_.end() ? nullptr : found->second->value;
}

void answer_cache::remove(std::list<item>::iterator position)
{
    bytes_ -= position->bytes;
    index_.erase(position->key);
    items_.erase(position);
}

} // namespace sequoiaroute::callers
