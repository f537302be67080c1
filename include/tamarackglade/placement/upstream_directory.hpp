// The upstreams that may get new work.
#pragma once

#include <tamarackglade/placement/live_upstream.hpp>

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace tamarack {

/// @brief How long an upstream whose record is gone may still be used after an outage of the store.
struct directory_options
{
    /// After the store's return; live upstreams have written again by then.
    duration returnGrace = std::chrono::milliseconds(2'200);
    /// After a single record was removed: it may have lapsed, or its upstream may have left.
    duration removalGrace = std::chrono::milliseconds(1'300);
};

/// @brief Folds the upstreams' own records. An upstream whose record lapsed while the store was
/// away stays usable for a grace, in which a live one writes again: the return grace if most
/// records are gone, since most upstreams don't leave at once, else the shorter removal grace.
class upstream_directory
{
public:
    explicit upstream_directory(directory_options options) : m_options(options) { }

    /// @brief Takes an upstream's record.
    void put(const live_upstream &upstream);
    /// @brief Takes the removal of a record, or a record that describes no upstream.
    void remove(const upstream_id &id, time_point now);
    /// @brief Takes all records at once; those that are missing are removed.
    void replaceAll(const std::vector<live_upstream> &upstreams, time_point now);

    /// @brief Tells that a read of the store failed.
    void onStoreFailure(time_point now);
    /// @brief Tells that the store answers.
    void onStoreAnswer(time_point now);

    /// @brief Drops upstreams whose grace is over.
    /// @return those that were dropped
    std::vector<upstream_id> tick(time_point now);

    /// @return all that are usable or leaving
    [[nodiscard]] const std::map<upstream_id, live_upstream> &upstreams() const
    {
        return m_upstreams;
    }
    [[nodiscard]] const live_upstream *find(const upstream_id &id) const;
    /// @return the upstream whose id has this stable hash, or null
    [[nodiscard]] const live_upstream *findByHash(std::uint64_t hash) const;

private:
    void erase(const upstream_id &id);
    [[nodiscard]] bool inGrace(time_point now) const;

    const directory_options m_options;
    std::map<upstream_id, live_upstream> m_upstreams;
    std::unordered_map<std::uint64_t, upstream_id> m_idByHash; // of m_upstreams
    std::map<upstream_id, time_point> m_lapsed; // of m_upstreams: kept, with the removal's time
    bool m_storeUnavailable = false;
    std::optional<time_point> m_storeReturnedAt; // set after the first outage
};

} // namespace tamarack
