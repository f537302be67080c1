// Directory of the upstreams that may receive new work.
#pragma once

#include <tamarackglade/placement/evacuated_zones.hpp>
#include <tamarackglade/placement/live_upstream.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace tamarack {

/// @brief How long an upstream without a record stays usable after an outage of the store.
struct directory_options
{
    /// From the end of the outage; running upstreams have renewed their records by then.
    duration returnGrace = std::chrono::milliseconds(2'200);
    /// From the removal of a single record, which may have expired in the outage or may belong to
    /// an upstream that has left.
    duration removalGrace = std::chrono::milliseconds(1'300);
    /// From a read of all records; upstreams may have started again since an older one.
    duration maxRecordAge = std::chrono::seconds(2);
};

/// @brief An upstream's own statement that this start of it leaves.
struct leaving_statement
{
    upstream_id upstream;
    incarnation_number incarnation;
    time_point at{};
};

/// @brief Folds the records of the upstreams, and what upstreams state themselves.
///
/// An upstream that states that it leaves counts as leaving, whatever its record says; a later
/// start under the same id doesn't.
///
/// An upstream whose record expired while the store was unavailable stays usable for a grace period
/// in which a running upstream renews its record. This is returnGrace if more than half of the
/// records are missing, since most upstreams don't leave at the same time, else the shorter
/// removalGrace.
class upstream_directory
{
public:
    explicit upstream_directory(directory_options options) : m_options(options) { }

    /// @brief Adds or replaces an upstream.
    /// @return whether it was unknown or differs from before
    bool put(const live_upstream &upstream);
    /// @brief Removes an upstream whose record was removed or is malformed, or starts its grace
    /// period.
    void remove(const upstream_id &id, time_point now);
    /// @brief Replaces all upstreams; those that are missing are removed as by remove().
    void replaceAll(const std::vector<live_upstream> &upstreams, time_point now);

    /// @brief Applies a statement of an upstream, which may be older than its record.
    /// @return whether it takes an upstream out of placement
    bool onLeaving(const leaving_statement &statement);
    /// @return the statements whose upstreams still have a record that says otherwise
    [[nodiscard]] std::vector<leaving_statement> unconfirmedLeaving() const;
    /// @brief Returns the statements that were confirmed by a record, or the lack of one, since the
    /// last call.
    [[nodiscard]] std::vector<leaving_statement> takeConfirmedLeaving();

    /// @brief Marks the store as unavailable after a failed read; the time is not used.
    void onStoreFailure(time_point now);
    /// @brief Marks the store as available; starts the grace periods if it was unavailable.
    void onStoreAnswer(time_point now);

    /// @brief Records that the directory contains all records that existed when a read was sent.
    void confirm(time_point sentAt);
    /// @return whether the records are of the present start of each upstream: they were read
    /// recently and the store was available since each running upstream has renewed its own
    [[nodiscard]] bool isCurrent(time_point now) const;

    /// @brief Applies the start that an upstream states. If its record is of another one, its
    /// version is unknown until its next record.
    /// @return whether the record is of another start
    bool onStart(const upstream_id &id, incarnation_number start);

    /// @brief Removes upstreams whose grace period is over, unless the store is unavailable.
    /// @return the removed upstreams
    std::vector<upstream_id> tick(time_point now);

    /// @brief Finds the version at which an upstream ran a request, if its record was too old when
    /// the request was sent.
    /// @param sentTo the upstream as it was known then
    /// @return its version if a recent record still names the same start; empty if unknown
    [[nodiscard]] software_version versionSince(const live_upstream &sentTo, time_point now) const;

    /// @return all upstreams, including leaving ones
    [[nodiscard]] const std::map<upstream_id, live_upstream> &upstreams() const
    {
        return m_upstreams;
    }
    /// @return the zones whose upstreams get no new work
    [[nodiscard]] evacuated_zones &evacuations() { return m_evacuations; }
    [[nodiscard]] const evacuated_zones &evacuations() const { return m_evacuations; }
    /// @return whether the upstream may be sent new work: it doesn't leave, nor is its zone
    /// evacuated
    [[nodiscard]] bool takesWork(const live_upstream &upstream) const
    {
        return !upstream.leaving && !m_evacuations.contains(upstream.zone);
    }

    /// @return the software versions of the group's upstreams that take work
    [[nodiscard]] std::set<software_version> versionsOf(const group_id &group) const;
    /// @return the upstream, or null
    [[nodiscard]] const live_upstream *find(const upstream_id &id) const;
    /// @return the upstream whose id has this stable hash, or null
    [[nodiscard]] const live_upstream *findByHash(std::uint64_t hash) const;

private:
    struct stated_leaving
    {
        leaving_statement statement;
        bool confirmed = false; // by the record, or by its end
    };

    /// @return whether this start of the upstream has stated that it leaves
    [[nodiscard]] bool statedLeaving(const live_upstream &upstream) const;
    void confirmLeaving(const upstream_id &id);
    void erase(const upstream_id &id);
    [[nodiscard]] bool inGrace(time_point now) const;

    const directory_options m_options;
    std::map<upstream_id, live_upstream> m_upstreams;
    evacuated_zones m_evacuations;
    std::unordered_map<std::uint64_t, upstream_id> m_idByHash; // of m_upstreams
    // The latest statement of each upstream, at most MaxStatements. It outlasts the upstream's
    // record, as an old record may come again.
    std::map<upstream_id, stated_leaving> m_stated;
    std::vector<leaving_statement> m_confirmed; // since takeConfirmedLeaving()
    std::map<upstream_id, time_point> m_lapsed; // times of removal, during the grace period
    bool m_storeUnavailable = false;
    std::optional<time_point> m_storeReturnedAt; // end of the last outage; nullopt before one
    std::optional<time_point> m_completeAt; // all records that existed then are applied
};

} // namespace tamarack
