// Folds the streams "calls-<partition>": which call holds each Idempotency-Key.
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

/// @brief The first call_started of a key that the log retains and that no call_finished released
/// holds the key. The state follows from the retained records alone, so that processes that trim at
/// different offsets never let two calls of a key run within the retention.
/// Records are applied in offset order, each offset once. apply and find cost O(log keys).
class idempotency_index
{
public:
    void apply(const schema::call_started_message &record, log_offset offset);
    void apply(const schema::call_finished_message &record, log_offset offset);

    /// @brief Forgets what was started before an offset that the log no longer keeps; costs
    /// O(log keys) for each claim and release that it forgets.
    void trim(log_offset firstKept);

    /// @return the state of a customer's key, or null if it is free
    [[nodiscard]] const keyed_call_state *find(const customer_id &customer,
                                               const std::string &key) const;

    [[nodiscard]] std::size_t size() const { return m_keys.size(); }

private:
    using customer_key = std::pair<std::string, std::string>;
    using claim_list = std::vector<keyed_call_state>;

    static claim_list::iterator findClaim(claim_list &claims, const std::string &callId);

    // Invariant: no list is empty; each is in offset order and names a call once. The first holds.
    std::map<customer_key, claim_list> m_keys;
    std::multimap<log_offset, customer_key> m_claimOrder; // of the claims in m_keys, and ended ones
    // Calls that never start, also if their call_started comes yet.
    std::unordered_set<std::string> m_released;
    std::multimap<log_offset, std::string> m_releaseOrder; // of m_released
};

} // namespace tamarack
