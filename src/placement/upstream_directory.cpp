// Folds the records of upstreams, with a grace period after an outage of the store.
#include <tamarackglade/core/hash.hpp>
#include <tamarackglade/placement/upstream_directory.hpp>
namespace tamarack {

void upstream_directory::put(const live_upstream &upstream)
{
    m_upstreams.insert_or_assign(upstream.id, upstream);
    m_idByHash.insert_or_assign(stableHash(upstream.id.value()), upstream.id);
    m_lapsed.erase(upstream.id);
}

void upstream_directory::remove(const upstream_id &id, time_point now)
{
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end())
        return;
    if (inGrace(now) && !found->second.leaving) {
        m_lapsed.emplace(id, now);
        return;
    }
    erase(id);
}

void upstream_directory::replaceAll(const std::vector<live_upstream> &upstreams, time_point now)
{
    std::set<upstream_id> present;
    for (const live_upstream &upstream : upstreams) {
        present.insert(upstream.id);
        put(upstream);
    }
    std::vector<upstream_id> missing;
    for (const auto &[id, upstream] : m_upstreams) {
        if (!present.contains(id))
            missing.push_back(id);
    }
    for (const upstream_id &id : missing)
        remove(id, now);
}

void upstream_directory::onStoreFailure(time_point)
{
    m_storeUnavailable = true;
}

void upstream_directory::onStoreAnswer(time_point now)
{
    if (!m_storeUnavailable)
        return;
    m_storeUnavailable = false;
    m_storeReturnedAt = now;
}

std::vector<upstream_id> upstream_directory::tick(time_point now)
{
    std::vector<upstream_id> dropped;
    if (m_storeUnavailable)
        return dropped;
    const bool mostLapsed = m_lapsed.size() * 2 > m_upstreams.size();
    for (const auto &[id, removedAt] : m_lapsed) {
        const bool kept = inGrace(now) && (mostLapsed || now - removedAt < m_options.removalGrace);
        if (!kept)
            dropped.push_back(id);
    }
    for (const upstream_id &id : dropped)
        erase(id);
    return dropped;
}

std::set<software_version> upstream_directory::versionsOf(const group_id &group) const
{
    std::set<software_version> versions;
    for (const auto &[id, upstream] : m_upstreams) {
        if (upstream.group == group && !upstream.leaving)
            versions.insert(upstream.version);
    }
    return versions;
}

const live_upstream *upstream_directory::find(const upstream_id &id) const
{
    const auto found = m_upstreams.find(id);
    return found == m_upstreams.end() ? nullptr : &found->second;
}

const live_upstream *upstream_directory::findByHash(std::uint64_t hash) const
{
    const auto found = m_idByHash.find(hash);
    return found == m_idByHash.end() ? nullptr : find(found->second);
}

void upstream_directory::erase(const upstream_id &id)
{
    m_idByHash.erase(stableHash(id.value()));
    m_lapsed.erase(id);
    m_upstreams.erase(id);
}

bool upstream_directory::inGrace(time_point now) const
{
    return m_storeUnavailable
           || (m_storeReturnedAt && now - *m_storeReturnedAt < m_options.returnGrace);
}

} // namespace tamarack
