#include "policy/bipartite_matching.hpp"

namespace sequoiaroute::policy {

namespace {

class matcher
{
public:
    matcher(std::size_t left, std::size_t right,
            std::vector<std::vector<std::size_t>> const& preferences,
            std::function<bool(std::size_t, std::size_t)> const& is_compatible)
        : preferences_(preferences), is_compatible_(is_compatible),
          partner_of_left_(left, unmatched), partner_of_right_(right, unmatched)
    {
    }

    std::vector<std::size_t> run()
    {
        for (std::size_t left = 0; left < partner_of_left_.size(); ++left) {
            if (match_directly(left))
                continue;
            is_visited_.assign(partner_of_right_.size(), false);
            augment(left);
        }
        return std::move(partner_of_left_);
    }

private:
    void pair(std::size_t left, std::size_t right)
    {
        partner_of_left_[left] = right;
        partner_of_right_[right] = left;
    }

    /// Pairs a left element with an unmatched partner, if it has one.
    bool match_directly(std::size_t left)
    {
        if (left < preferences_.size()) {
            for (auto const right : preferences_[left]) {
                if (partner_of_right_[right] == unmatched &&
                    is_compatible_(left, right)) {
                    pair(left, right);
                    return true;
                }
            }
            return false;
        }
        while (first_unmatched_ < partner_of_right_.size() &&
               partner_of_right_[first_unmatched_] != unmatched)
            ++first_unmatched_;
        for (auto right = first_unmatched_; right < partner_of_right_.size();
             ++right) {
            if (partner_of_right_[right] == unmatched &&
                is_compatible_(left, right)) {
                pair(left, right);
                return true;
            }
        }
        return false;
    }

    // The recursion depth is bounded by the number of left elements.
    // NOLINTNEXTLINE(misc-no-recursion)
    bool augment(std::size_t left)
    {
        for (std::size_t right = 0; right < partner_of_right_.size(); ++right) {
            if (is_visited_[right] || !is_compatible_(left, right))
                continue;
            is_visited_[right] = true;
            if (partner_of_right_[right] == unmatched ||
                augment(partner_of_right_[right])) {
                pair(left, right);
                return true;
            }
        }
        return false;
    }

    std::vector<std::vector<std::size_t>> const& preferences_;
    std::function<bool(std::size_t, std::size_t)> const& is_compatible_;
    std::vector<std::size_t> partner_of_left_;
    std::vector<std::size_t> partner_of_right_;
    std::vector<bool> is_visited_;
    std::size_t first_unmatched_ = 0; ///< all before it are matched
};

} // namespace

std::vector<std::size_t> maximum_matching(
    std::size_t left, std::size_t right,
    std::vector<std::vector<std::size_t>> const& preferences,
    std::function<bool(std::size_t, std::size_t)> const& is_compatible)
{
    return matcher(left, right, preferences, is_compatible).run();
}

} // namespace sequoiaroute::policy
