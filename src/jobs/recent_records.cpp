// Window of recent record ids.
#include <tamarackglade/core/hash.hpp>
#include <tamarackglade/jobs/recent_records.hpp>

namespace tamarack {

bool recent_records::insert(const std::string &recordId)
{
    const auto hash = stableHash(recordId);
    if (m_hashes.contains(hash))
        return false;
    insertHash(hash);
    return true;
}

bool recent_records::contains(const std::string &recordId) const
{
    return m_hashes.contains(stableHash(recordId));
}

void recent_records::load(const std::vector<std::uint64_t> &hashes)
{
    for (const auto hash : hashes) {
        if (!m_hashes.contains(hash))
            insertHash(hash);
    }
}

void recent_records::insertHash(std::uint64_t hash)
{
    m_order.push_back(hash);
    m_hashes.insert(hash);
    if (m_order.size() > Capacity) {
        m_hashes.erase(m_order.front());
        m_order.pop_front();
    }
}

} // namespace tamarack
