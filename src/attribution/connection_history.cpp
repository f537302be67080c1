// Keeps the hashes of the last request ids.
#include <tamarackglade/attribution/connection_history.hpp>
#include <tamarackglade/core/hash.hpp>

#include <algorithm>

namespace tamarack {

void connection_history::onSent(const request_id &request)
{
    ++m_requests;
    m_recent.push_back(stableHash(request.value()));
    if (m_recent.size() > MaxRequests)
        m_recent.pop_front();
}

void connection_history::onResponse(bool isNamed)
{
    m_hasUnnamedResponse = m_hasUnnamedResponse || !isNamed;
}

bool connection_history::carried(const request_id &request) const
{
    return std::find(m_recent.begin(), m_recent.end(), stableHash(request.value()))
           != m_recent.end();
}

} // namespace tamarack
