// The fold of keyed calls.
#include <tamarackglade/calls/idempotency_index.hpp>

namespace tamarack {

void idempotency_index::apply(const schema::call_started_message &record, log_offset offset)
{
    if (m_released.contains(record.call_id))
        return;
    keyed_call_state state;
    state.callId = record.call_id;
    state.requestDigest = record.request_digest;
    state.startedAt = offset;
    m_keys.emplace(customer_key(record.customer, record.key), std::move(state));
}

void idempotency_index::apply(const schema::call_finished_message &record, log_offset offset)
{
    const auto found = m_keys.find(customer_key(record.customer, record.key));
    const bool holds = found != m_keys.end() && found->second.callId == record.call_id;
    if (record.execution == schema::call_execution::No) {
        m_released.emplace(record.call_id, offset);
        if (holds && !found->second.finished)
            m_keys.erase(found);
        return;
    }
    if (!holds || found->second.finished || record.execution != schema::call_execution::Yes)
        return;
    found->second.finished = true;
    found->second.status = record.status;
    found->second.contentType = record.content_type;
    found->second.body = record.body;
}

void idempotency_index::trim(log_offset firstKept)
{
    std::erase_if(m_keys,
                  [&](const auto &e) { return e.second.startedAt.value() < firstKept.value(); });
    std::erase_if(m_released, [&](const auto &e) { return e.second.value() < firstKept.value(); });
}

const keyed_call_state *idempotency_index::find(const customer_id &customer,
                                                const std::string &key) const
{
    const auto found = m_keys.find(customer_key(customer.value(), key));
    return found == m_keys.end() ? nullptr : &found->second;
}

} // namespace tamarack
