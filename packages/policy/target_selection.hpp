#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <absl/random/bit_gen_ref.h>

namespace sequoiaroute::policy {

/// An entry's view of an executor.
struct executor_view
{
    std::string target_id;
    std::string data_centre;
    std::string service;
    int slots = 0;
    int free_slots = 0; ///< estimate; negative if overcommitted
    bool is_leaving = false;
    bool is_suspect = false;
};

/// Selects the executor for a request.
class target_selection
{
public:
    /// @param data_centre the entry's data centre; its executors are preferred
    explicit target_selection(std::string data_centre);

    /// Selects among the executors of a service that accept work and have a
    /// free slot: of two random candidates, the one with more free slots.
    /// Always selecting the one with the most free slots would make all entries
    /// with the same view send to the same executor.
    /// @param executors all known executors
    /// @param service the service of the request
    /// @param excluded ids of targets that were already tried
    /// @param random source of random numbers
    /// @return the index of the executor, or nothing if there is no candidate
    std::optional<std::size_t> select(std::span<executor_view const> executors,
                                      std::string_view service,
                                      std::span<std::string const> excluded,
                                      absl::BitGenRef random) const;

    /// @return whether an executor may receive requests of a service, whether
    ///         or not it has a free slot
    static bool accepts(executor_view const& executor,
                        std::string_view service);

private:
    /// @return the indices of the candidates in the entry's data centre, or of
    ///         those elsewhere if it has none
    std::vector<std::size_t>
    candidates(std::span<executor_view const> executors,
               std::string_view service,
               std::span<std::string const> excluded) const;

    std::string data_centre_;
};

} // namespace sequoiaroute::policy
