// Folds the records of keyed calls.
#include <tamarackglade/calls/idempotency_index.hpp>

#include <algorithm>
#include <utility>

namespace tamarack {

void idempotency_index::apply(const schema::call_started_message &record, log_offset offset)
{
    if (m_released.contains(record.call_id))
        return;
    const customer_key key(record.customer, record.key);
    auto &claimed = m_keys[key];
    if (findClaim(claimed, record.call_id) != claimed.end())
        return;
    keyed_call_state state;
    state.callId = record.call_id;
    state.requestDigest = record.request_digest;
    state.startedOffset = offset;
    claimed.push_back(std::move(state));
    m_claimOrder.emplace(offset, key);
}

void idempotency_index::apply(const schema::call_finished_message &record, log_offset offset)
{
    if (record.execution == schema::call_execution::No && m_released.insert(record.call_id).second)
        m_releaseOrder.emplace(offset, record.call_id);
    const auto found = m_keys.find(customer_key(record.customer, record.key));
    if (found == m_keys.end())
        return;
    const auto claim = findClaim(found->second, record.call_id);
    if (claim == found->second.end() || claim->finished)
        return;
    if (record.execution == schema::call_execution::No) {
        found->second.erase(claim);
        if (found->second.empty())
            m_keys.erase(found);
    } else if (record.execution == schema::call_execution::Yes) {
        claim->finished = true;
        claim->finishedOffset = offset;
        claim->status = record.status;
        claim->contentType = record.content_type;
        claim->body = record.body;
    }
}

void idempotency_index::trim(log_offset firstKept)
{
    const auto claimsEnd = m_claimOrder.lower_bound(firstKept);
    for (auto old = m_claimOrder.begin(); old != claimsEnd; ++old) {
        const auto found = m_keys.find(old->second);
        if (found == m_keys.end())
            continue;
        std::erase_if(found->second,
                      [&](const auto &claim) { return claim.startedOffset < firstKept; });
        if (found->second.empty())
            m_keys.erase(found);
    }
    m_claimOrder.erase(m_claimOrder.begin(), claimsEnd);
    const auto releasesEnd = m_releaseOrder.lower_bound(firstKept);
    for (auto old = m_releaseOrder.begin(); old != releasesEnd; ++old)
        m_released.erase(old->second);
    m_releaseOrder.erase(m_releaseOrder.begin(), releasesEnd);
}

const keyed_call_state *idempotency_index::find(const customer_id &customer,
                                                const std::string &key) const
{
    const auto found = m_keys.find(customer_key(customer.value(), key));
    return found == m_keys.end() ? nullptr : &found->second.front();
}

idempotency_index::claim_list::iterator idempotency_index::findClaim(claim_list &claims,
                                                                     const std::string &callId)
{
    return std::find_if(claims.begin(), claims.end(),
                        [&](const keyed_call_state &claim) { return claim.callId == callId; });
}

} // namespace tamarack
