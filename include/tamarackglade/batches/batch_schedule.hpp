// Which gateway runs a job, and which item it starts next.
#pragma once

#include <tamarackglade/batches/batch_fold.hpp>
#include <tamarackglade/jobs/item_key.hpp>

#include <set>
#include <vector>

namespace tamarack {

/// @return the gateway that runs an item: by rendezvous hashing, so that few items move when a
/// gateway comes or goes. Two gateways may disagree for a moment; the fold then drops one result.
/// @param gateways not empty
const vm_id &ownerOf(const job_id &job, std::size_t item, const std::vector<vm_id> &gateways);

/// @brief Lists items that this gateway should run, the most urgent first: by the due time of
/// their job, then by its arrival. Items of customers with many jobs don't go before others' that
/// are due earlier.
/// Items that failed wait for a while, longer after each failure: what made them fail may pass.
/// @param running items that run here already
/// @param currentSince folds that don't hold all records of this time start nothing: items that
/// are finished, or whose job was ended, look as if they waited
/// @param maxItems the longest list
std::vector<item_key> itemsToStart(const std::vector<const batch_fold *> &folds, const vm_id &self,
                                   const std::vector<vm_id> &gateways,
                                   const std::set<item_key> &running, time_point currentSince,
                                   time_point now, std::size_t maxItems);

/// @return the upstreams at which an item has failed; another one may be able to do it
std::set<upstream_id> failedUpstreams(const batch_job_item &item);

/// @return whether an unfinished item has to be given up: it failed often enough, or it is past its
/// retention
bool mustAbandon(const customer_batch &job, std::size_t item, time_point now);

} // namespace tamarack
