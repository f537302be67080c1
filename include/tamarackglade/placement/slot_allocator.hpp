// Selects upstreams by the slots in use, counted over all gateways.
#pragma once

#include <tamarackglade/placement/failure_score.hpp>
#include <tamarackglade/placement/slot_claims.hpp>
#include <tamarackglade/placement/slot_use.hpp>
#include <tamarackglade/placement/upstream_directory.hpp>
#include <tamarackglade/placement/upstream_rates.hpp>

#include <cstdint>
#include <random>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace tamarack {

/// @brief Criteria for the selection of an upstream.
struct placement_request
{
    group_id group;
    work_class work = work_class::Online;
    std::uint64_t prefixHash = 0; // of the prompt's shared prefix; 0 for none
    // Set for a stream that goes on after its first event: only upstreams of the version that began
    // it can write the rest.
    std::optional<software_version> version;
    // Upstreams that were tried before. Batch work, and work with a version, uses them again if no
    // other is usable.
    std::set<upstream_id> excluded;
    bool onlyOthers = false; // the excluded ones aren't used again in any case
};

/// @brief How upstreams are treated that other gateways prefer.
struct distance_rule
{
    double cost = 0; // slots added to the cost
    // Slots that stay free for the gateways that prefer the upstream, as these receive each other's
    // reports earlier; a stream that goes on at its version may use them.
    unsigned reserve = 0;
};

/// @brief Costs, reserves and durations of the selection. Whatever is reserved, each class of work
/// may use one slot of an upstream.
struct placement_options
{
    zone_id zone; // of this process; its upstreams are preferred
    distance_rule otherZone{3, 2};
    // In fleets that are divided into cells, for the upstreams of other cells: many gateways know
    // them by reports of some age, and choose at the same time.
    distance_rule otherCell{5, 4};
    distance_rule otherZoneOfCells{8, 4};
    unsigned batchReserve = 2; // slots of each upstream that batch work must leave free
    double failureCost = 3; // slots added to the cost for each point of the failure score
    double maxFailureCost = 8; // slots; limit of failures and peer ejections together
    double peerEjectionCost = 3; // slots added to the cost for each peer that ejects the upstream
    failure_options failures{};
    duration peerUseLifetime = std::chrono::seconds(1); // age at which a peer's report is dropped
    claim_options claims{}; // to the last slot of upstreams with few slots
};

/// @brief Runs of batch items that another gateway has at an upstream.
struct peer_batch_runs
{
    vm_id gateway;
    upstream_id upstream;
    unsigned runs = 0;
};

/// @brief Counts the slots in use and picks the usable upstream with the lowest cost.
///
/// Upstreams admit requests in order of arrival and have no priorities, so an upstream is never
/// sent more requests than it has slots. This handles bursts beyond the slots of the fleet, with
/// batch work between the bursts.
class slot_allocator
{
public:
    /// @param rates of the upstreams; must outlive the allocator
    slot_allocator(const upstream_directory &directory, upstream_rates &rates,
                   placement_options options, std::uint64_t seed);

    /// @brief Picks an upstream without acquiring its slot. Batch work claims the slot of an
    /// upstream with few slots first and gets it from a later call.
    /// @return an upstream with a free slot for this class of work that may be sent a request now,
    /// or nullopt
    std::optional<upstream_id> pick(const placement_request &request, time_point now);

    /// @return the number of slots free for this class of work at all upstreams of the group
    /// @param version counts only the upstreams of this version; nullopt for all
    [[nodiscard]] unsigned freeSlots(const group_id &group, work_class work, time_point now,
                                     const std::optional<software_version> &version = {});

    /// @return whether an upstream that the request doesn't exclude is usable, free slots or not
    [[nodiscard]] bool hasOthers(const placement_request &request, time_point now) const;

    /// @return whether new work of the group may succeed now: an upstream that isn't excluded is
    /// usable and doesn't fail all it gets. A record alone doesn't show that.
    [[nodiscard]] bool takesWork(const group_id &group, const std::set<upstream_id> &excluded,
                                 time_point now) const;
    /// @return whether the group has an upstream that takes work
    [[nodiscard]] bool knows(const group_id &group) const;
    /// @return whether each upstream of the group and version fails all it gets
    [[nodiscard]] bool isFailing(const group_id &group, const software_version &version,
                                 time_point now) const;

    /// @return whether only a free slot is missing for an online request at the upstream
    [[nodiscard]] bool needsSlot(const upstream_id &id, time_point now) const;

    /// @brief Counts a slot of the upstream as in use by this process, and a request to it.
    void acquire(const upstream_id &id, work_class work, time_point now);
    /// @brief Counts a slot as free again; the upstream may have been removed meanwhile.
    void release(const upstream_id &id, work_class work);

    /// @brief Records the success of an attempt in the upstream's failure score.
    void onSuccess(const upstream_id &id, time_point now);
    /// @brief Records that the upstream has begun to answer a request.
    void onAnswer(const upstream_id &id);
    /// @brief Records the failure of an attempt in the upstream's failure score.
    void onFault(const upstream_id &id, attempt_fault fault, time_point now);

    /// @return the number of upstreams that fail all they get from this process
    [[nodiscard]] std::size_t failing(time_point now) const;
    /// @return the upstreams that this process currently ejects
    [[nodiscard]] std::vector<upstream_id> ejected(time_point now) const;
    /// @brief Removes decayed failure scores and expired peer reports; called periodically.
    void tick(time_point now);

    /// @brief Replaces a peer's report.
    /// @param use slots that the peer uses at each upstream
    /// @param ejected upstreams that the peer ejects; they may still work for other gateways
    void onPeerUse(const vm_id &peer, std::unordered_map<upstream_id, slot_use> use,
                   std::set<upstream_id> ejected, time_point now);

    /// @return the batch runs that peers reported at upstreams where an online request only lacks a
    /// slot
    /// @param version only upstreams of this version; nullopt for all
    [[nodiscard]] std::vector<peer_batch_runs>
    peerBatchRuns(const group_id &group, const std::optional<software_version> &version,
                  time_point now) const;

    /// @brief Sets the upstreams of this gateway's cell, which are preferred to the others of the
    /// zone; nullopt if the zone isn't divided.
    void setCell(std::optional<std::unordered_set<upstream_id>> cell) { m_cell = std::move(cell); }

    /// @return the slots that this process uses at each upstream, for its reports to peers
    [[nodiscard]] const std::unordered_map<upstream_id, slot_use> &ownUse() const { return m_own; }

private:
    struct peer_report
    {
        std::unordered_map<upstream_id, slot_use> use;
        std::set<upstream_id> ejected;
        time_point lastReceivedAt{};
    };

    /// Sums of all peers' reports for one upstream.
    struct peer_totals
    {
        unsigned used = 0; // slots
        unsigned ejecting = 0; // peers that eject it
    };

    /// @return the rule for the upstream's distance
    [[nodiscard]] const distance_rule &ruleFor(const live_upstream &upstream) const;
    void addReport(const peer_report &report);
    void removeReport(const peer_report &report);
    void dropOldReports(time_point now);
    /// @return the slots in use at all gateways, without this gateway's claim
    [[nodiscard]] unsigned usedSlots(const upstream_id &id) const;
    [[nodiscard]] bool usable(const live_upstream &upstream, const group_id &group,
                              const std::optional<software_version> &version, time_point now) const;
    [[nodiscard]] bool failsAll(const upstream_id &id, time_point now) const;
    [[nodiscard]] double occupiedCost(const live_upstream &upstream, unsigned used, work_class work,
                                      time_point now) const;
    [[nodiscard]] double failureCost(const upstream_id &id, time_point now) const;
    [[nodiscard]] unsigned capacity(const live_upstream &upstream, work_class work,
                                    bool goesOn) const;
    /// @return the slots that the class of work leaves free, if there are enough
    [[nodiscard]] unsigned reserve(const live_upstream &upstream, work_class work,
                                   bool goesOn) const;
    /// @return whether other gateways may take the only slot for batch work at the same time
    [[nodiscard]] bool isContended(const live_upstream &upstream, work_class work) const;
    /// @return whether a free slot may be taken or claimed now
    [[nodiscard]] bool mayTakeContended(const upstream_id &id, bool isFree, time_point now);
    void beginClaim(const upstream_id &id, time_point now);
    void endClaim(const upstream_id &id);

    const upstream_directory &m_directory;
    upstream_rates &m_rates;
    const placement_options m_options;
    std::mt19937_64 m_random;
    std::optional<std::unordered_set<upstream_id>> m_cell;
    // Only upstreams with slots in use. A claim counts as one for batch work, so that reports hold
    // it.
    std::unordered_map<upstream_id, slot_use> m_own;
    slot_claims m_claims;
    std::unordered_map<upstream_id, failure_score> m_failures; // recent failures
    std::unordered_map<vm_id, peer_report> m_peers;
    std::unordered_map<upstream_id, peer_totals> m_peerTotals; // sums over m_peers
};

} // namespace tamarack
