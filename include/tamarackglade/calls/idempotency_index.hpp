// Folds the streams "calls-<partition>" into the call that holds each Idempotency-Key.
#pragma once

#include <tamarackglade/calls/keyed_call_state.hpp>
#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/schema/log_generated.h>

#include <cstddef>
#include <map>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

namespace tamarack {

/// @brief The calls that hold Idempotency-Keys, as folded from the log.
/// A key is held by the first of its call_started records that the log retains and that no
/// call_finished record released. The state depends on the retained records alone, so that
/// processes that trim at different offsets never let two calls of a key run within the retention.
/// Records are applied in offset order, each offset once. apply and find cost O(log keys).
class idempotency_index
{
public:
    void apply(const schema::call_started_message &record, log_offset offset);
    void apply(const schema::call_finished_message &record, log_offset offset);

    /// @brief Removes the claims and releases before firstKept, the first offset that the log still
    /// retains. Costs O(log keys) for each one removed.
    void trim(log_offset firstKept);

    /// @return the state of a customer's key, or null if it is free
    [[nodiscard]] const keyed_call_state *find(const customer_id &customer,
                                               const std::string &key) const;

    [[nodiscard]] std::size_t size() const { return m_keys.size(); }

private:
    using customer_key = std::pair<std::string, std::string>;
    using claim_list = std::vector<keyed_call_state>;

    static claim_list::iterator findClaim(claim_list &claims, const std::string &callId);

    // Invariant: no list is empty; each is in offset order and names a call once. The first call of
    // a list holds the key.
    std::map<customer_key, claim_list> m_keys;
    std::multimap<log_offset, customer_key> m_claimOrder; // keys of current and ended claims
    // Ids of calls that never start, even if their call_started record follows later.
    std::unordered_set<std::string> m_released;
    std::multimap<log_offset, std::string> m_releaseOrder; // the ids in m_released
};

} // namespace tamarack
