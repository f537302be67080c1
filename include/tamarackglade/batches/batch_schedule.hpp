// Selects the batch items to start next.
#pragma once

#include <tamarackglade/batches/batch_fold.hpp>
#include <tamarackglade/batches/item_owners.hpp>

#include <functional>
#include <optional>
#include <set>
#include <vector>

namespace tamarack {

/// @brief Selects the group whose upstreams are to run an item.
struct item_groups
{
    std::function<std::vector<group_id>(const customer_batch &)> ofJob; // of all of its items
    std::function<group_id(const customer_batch &, const batch_item_key &)> ofItem;
};

/// @brief Lists the items that this gateway should start: those with a part of their text first, as
/// only some upstreams can go on with it, ordered by the due time of their job, then by their id.
/// New ones follow: each is of the customer with the fewest items that run or are listed before it,
/// so that no customer's many items hold up those of another; those of one customer are ordered by
/// due time and id.
///
/// An item that failed waits before it is listed again, longer after each failure, as the cause of
/// the failure may be temporary.
/// @param owners knows the items that this gateway runs; drops ended jobs
/// @param begun items of which this gateway has a part of the text
/// @param running items that already run at this gateway
/// @param currentSince no item is listed from a fold that may lack records of this time, since its
/// finished items and the items of its ended jobs could still appear as waiting
/// @param maxItems maximum number of new items of each group, so that items of a group without a
/// free slot don't stand before those of others
std::vector<batch_item_key> itemsToStart(const std::vector<const batch_fold *> &folds,
                                         item_owners &owners, const item_groups &groups,
                                         const std::set<batch_item_key> &begun,
                                         const std::set<batch_item_key> &running,
                                         time_point currentSince, time_point now,
                                         std::size_t maxItems);

/// @return the upstreams at which the item failed, so that the next run can use another one
std::set<upstream_id> failedUpstreams(const batch_job_item &item);

/// @return whether an unfinished item must be abandoned, because its attempts are used up or the
/// job's retention has passed
bool mustAbandon(const customer_batch &job, std::size_t item, time_point now);

/// @brief Distinguishes a removed route from one that isn't known yet, for a job whose route the
/// present configuration lacks. The gateway that accepted the job had read the route from the
/// store, so a configuration that was read after the job is new enough.
/// @param confirmedAt when the read that last confirmed the configuration was sent; nullopt if none
bool routeWasRemoved(const customer_batch &job, std::optional<time_point> confirmedAt);

} // namespace tamarack
