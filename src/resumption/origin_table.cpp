// Drops origins in the order of their arrival.
#include <tamarackglade/core/hash.hpp>
#include <tamarackglade/resumption/origin_table.hpp>

namespace tamarack {

stream_key streamKey(const request_id &firstAttempt, const customer_id &customer)
{
    return stream_key(stableHash(firstAttempt.value(), stableHash(customer.value())));
}

void origin_table::put(stream_key stream, const stream_origin &origin, time_point now)
{
    dropOld(now);
    const auto [found, isNew] = m_origins.try_emplace(stream, origin);
    if (isNew)
        m_arrivals.push_back({stream, now});
    else if (found->second.begunAt < origin.begunAt)
        found->second = origin;
    if (m_origins.size() > m_options.maxOrigins) {
        m_origins.erase(m_arrivals.front().stream);
        m_arrivals.pop_front();
    }
}

std::optional<stream_origin> origin_table::find(stream_key stream, time_point now)
{
    dropOld(now);
    const auto found = m_origins.find(stream);
    return found == m_origins.end() ? std::nullopt : std::optional(found->second);
}

void origin_table::dropOld(time_point now)
{
    while (!m_arrivals.empty() && now - m_arrivals.front().at > m_options.lifetime) {
        m_origins.erase(m_arrivals.front().stream);
        m_arrivals.pop_front();
    }
}

} // namespace tamarack
