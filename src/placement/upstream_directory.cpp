// Folds the records of upstreams, with a grace period after an outage of the store.
#include <tamarackglade/core/hash.hpp>
#include <tamarackglade/placement/upstream_directory.hpp>

#include <algorithm>
#include <utility>
namespace tamarack {

namespace {

constexpr std::size_t MaxStatements = 4'096; // more than the upstreams of a fleet

} // namespace

bool upstream_directory::put(const live_upstream &upstream)
{
    if (upstream.leaving || !statedLeaving(upstream))
        confirmLeaving(upstream.id);
    live_upstream applied = upstream;
    applied.leaving = upstream.leaving || statedLeaving(upstream);
    m_idByHash.insert_or_assign(stableHash(upstream.id.value()), upstream.id);
    m_lapsed.erase(upstream.id);
    const auto [known, isNew] = m_upstreams.try_emplace(upstream.id, applied);
    const bool changed = isNew || known->second != applied;
    known->second = std::move(applied);
    return changed;
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

bool upstream_directory::onLeaving(const leaving_statement &statement)
{
    const auto known = m_stated.find(statement.upstream);
    if (known != m_stated.end() && known->second.statement.incarnation >= statement.incarnation)
        return false;
    if (m_stated.size() >= MaxStatements && known == m_stated.end())
        m_stated.erase(std::min_element(
            m_stated.begin(), m_stated.end(), [](const auto &left, const auto &right) {
                return left.second.statement.at < right.second.statement.at;
            }));
    const auto found = m_upstreams.find(statement.upstream);
    const bool takesOut = found != m_upstreams.end() && !found->second.leaving
                          && found->second.incarnation <= statement.incarnation;
    m_stated.insert_or_assign(statement.upstream, stated_leaving{statement, !takesOut});
    if (takesOut)
        found->second.leaving = true;
    return takesOut;
}

std::vector<leaving_statement> upstream_directory::unconfirmedLeaving() const
{
    std::vector<leaving_statement> statements;
    for (const auto &[id, stated] : m_stated) {
        if (!stated.confirmed)
            statements.push_back(stated.statement);
    }
    return statements;
}

std::vector<leaving_statement> upstream_directory::takeConfirmedLeaving()
{
    return std::exchange(m_confirmed, {});
}

bool upstream_directory::statedLeaving(const live_upstream &upstream) const
{
    const auto stated = m_stated.find(upstream.id);
    return stated != m_stated.end() && upstream.incarnation <= stated->second.statement.incarnation;
}

void upstream_directory::confirmLeaving(const upstream_id &id)
{
    const auto stated = m_stated.find(id);
    if (stated == m_stated.end() || stated->second.confirmed)
        return;
    stated->second.confirmed = true;
    m_confirmed.push_back(stated->second.statement);
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

void upstream_directory::confirm(time_point sentAt)
{
    m_completeAt = std::max(m_completeAt.value_or(sentAt), sentAt);
}

bool upstream_directory::isCurrent(time_point now) const
{
    return !inGrace(now) && m_completeAt && now - *m_completeAt <= m_options.maxRecordAge;
}

bool upstream_directory::onStart(const upstream_id &id, incarnation_number start)
{
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end() || found->second.incarnation == start)
        return false;
    found->second.incarnation = start;
    found->second.version = software_version();
    return true;
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

software_version upstream_directory::versionSince(const live_upstream &sentTo, time_point now) const
{
    const live_upstream *listed = find(sentTo.id);
    const bool isSameStart = listed != nullptr && listed->incarnation == sentTo.incarnation;
    return isSameStart && isCurrent(now) ? listed->version : software_version();
}

std::set<software_version> upstream_directory::versionsOf(const group_id &group) const
{
    std::set<software_version> versions;
    for (const auto &[id, upstream] : m_upstreams) {
        if (upstream.group == group && takesWork(upstream))
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
    confirmLeaving(id);
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
