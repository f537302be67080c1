// Token buckets with the rates that upstreams state.
#include <tamarackglade/core/hash.hpp>
#include <tamarackglade/placement/upstream_rates.hpp>

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

// Lowest rate that is used. An upstream that accepts nothing could never end its limit, as only its
// responses do.
constexpr double MinRate = 0.2; // requests per second
constexpr double BurstSeconds = 2.0; // the bucket holds the requests of this time
// As BurstSeconds, of upstreams that warm up. Several gateways may use the same tokens between two
// reports, and the rate is to hold in each second.
constexpr double WarmUpBurstSeconds = 0.15;
// Time for which a turn lasts; about that until the reports of all gateways have arrived.
constexpr std::chrono::milliseconds TurnLength{300};
constexpr double MinBurst = 1.0; // requests
constexpr double OnlineTokens = 1.0; // that an online request needs
constexpr double BatchTokens = 2.0; // that a batch item needs, so that one is left

rate_limit limitOfStatement(double rate)
{
    return {rate, std::max(MinBurst, rate * BurstSeconds), false};
}

rate_limit limitOfWarmUp(double rate)
{
    return {rate, std::max(MinBurst, rate * WarmUpBurstSeconds), true};
}

std::uint64_t turnAt(time_point now)
{
    return static_cast<std::uint64_t>(now.time_since_epoch() / TurnLength);
}

double usedRate(const rate_statement &statement)
{
    return statement.rate ? std::max(MinRate, *statement.rate) : 0;
}

} // namespace

bool upstream_rates::onStatement(const rate_statement &statement, time_point now)
{
    const auto found = m_statements.find(statement.upstream);
    if (found == m_statements.end() && !statement.rate)
        return false;
    if (found != m_statements.end() && statement.at <= found->second.at)
        return false;
    if (found != m_statements.end() && statement.incarnation < found->second.incarnation)
        return false;
    const bool changed = found == m_statements.end() || found->second.rate != statement.rate;
    m_statements.insert_or_assign(statement.upstream, statement);
    updateLimit(statement.upstream, now);
    return changed;
}

void upstream_rates::setWarmUpRates(std::unordered_map<group_id, double> rates, time_point now)
{
    std::erase_if(rates, [](const auto &entry) { return entry.second <= 0; });
    if (rates == m_warmUpRates)
        return;
    m_warmUpRates = std::move(rates);
    for (const auto &[upstream, warmUp] : m_warmUps)
        updateLimit(upstream, now);
}

void upstream_rates::onWarmUp(const live_upstream &upstream, time_point until, time_point now)
{
    const auto known = m_warmUps.find(upstream.id);
    if (until <= now && known == m_warmUps.end())
        return;
    m_warmUps.insert_or_assign(upstream.id, warm_up{upstream.group, upstream.incarnation, until});
    updateLimit(upstream.id, now);
}

double upstream_rates::warmUpRate(const upstream_id &upstream, time_point now) const
{
    const auto found = m_warmUps.find(upstream);
    if (found == m_warmUps.end() || now >= found->second.until)
        return 0;
    const auto rate = m_warmUpRates.find(found->second.group);
    return rate == m_warmUpRates.end() ? 0 : std::max(MinRate, rate->second);
}

rate_limit upstream_rates::limitOf(const upstream_id &upstream, time_point now) const
{
    const auto statement = m_statements.find(upstream);
    const double stated = statement == m_statements.end() ? 0 : usedRate(statement->second);
    const double warmUp = warmUpRate(upstream, now);
    if (warmUp <= 0)
        return stated > 0 ? limitOfStatement(stated) : rate_limit();
    return limitOfWarmUp(stated > 0 ? std::min(stated, warmUp) : warmUp);
}

void upstream_rates::updateLimit(const upstream_id &upstream, time_point now)
{
    const rate_limit limit = limitOf(upstream, now);
    const auto known = m_limits.find(upstream);
    if (known != m_limits.end() && known->second == limit)
        return;
    m_limits.insert_or_assign(upstream, limit);
    m_sent.setLimit(upstream, limit.rate, limit.burst, now);
}

bool upstream_rates::maySend(const upstream_id &upstream, work_class work, time_point now) const
{
    if (m_limits.empty())
        return true;
    const auto found = m_limits.find(upstream);
    if (found == m_limits.end() || found->second.rate <= 0)
        return true;
    const double tokens =
        work == work_class::Online ? OnlineTokens : std::min(found->second.burst, BatchTokens);
    if (m_sent.tokens(upstream, now) < tokens || !hasTurn(upstream, now))
        return false;
    const auto use = m_turnUse.find(upstream);
    return !found->second.isBoundEachTurn || use == m_turnUse.end()
           || use->second.turn != turnAt(now) || use->second.sent < allowedInTurn(found->second);
}

void upstream_rates::onSent(const upstream_id &upstream, time_point now)
{
    m_sent.take(upstream, now);
    const auto limit = m_limits.find(upstream);
    if (limit == m_limits.end() || !limit->second.isBoundEachTurn)
        return;
    turn_use &use = m_turnUse[upstream];
    if (use.turn != turnAt(now))
        use = turn_use{turnAt(now)};
    ++use.sent;
}

// Gateways that lose contact don't see each other's requests until they notice it. With the bound,
// all of them together send the rate on average during that time, too.
double upstream_rates::allowedInTurn(const rate_limit &limit) const
{
    const double inTurn = limit.rate * toSeconds(TurnLength);
    const double gateways = std::max(1.0, std::min(limit.burst, 1 / m_loadShare));
    return std::max(1.0, inTurn / gateways);
}

double upstream_rates::exhaustion(const upstream_id &upstream, time_point now) const
{
    if (m_limits.empty())
        return 0;
    const auto found = m_limits.find(upstream);
    if (found == m_limits.end() || found->second.rate <= 0)
        return 0;
    const double left = m_sent.tokens(upstream, now) / found->second.burst;
    return std::clamp(1 - left, 0.0, 1.0);
}

// In each turn as many gateways may send as there are tokens, on average. They need no common
// clock, as each turn is drawn by a hash.
bool upstream_rates::hasTurn(const upstream_id &upstream, time_point now) const
{
    constexpr double MaxHash = 18446744073709551616.0; // 2^64
    const std::uint64_t hash =
        stableHash(m_self.value(), stableHash(upstream.value(), turnAt(now)));
    return static_cast<double>(hash) / MaxHash < m_sent.tokens(upstream, now) * m_loadShare;
}

std::vector<rate_statement> upstream_rates::statements() const
{
    std::vector<rate_statement> statements;
    for (const auto &[upstream, statement] : m_statements)
        statements.push_back(statement);
    for (const auto &[upstream, warmUp] : m_warmUps) {
        if (!m_statements.contains(upstream))
            statements.push_back({upstream, warmUp.incarnation, std::nullopt, {}});
    }
    return statements;
}

std::size_t upstream_rates::limited() const
{
    return static_cast<std::size_t>(
        std::count_if(m_statements.begin(), m_statements.end(),
                      [](const auto &each) { return each.second.rate.has_value(); }));
}

std::size_t upstream_rates::warmingUp(time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_warmUps.begin(), m_warmUps.end(),
                      [&](const auto &each) { return warmUpRate(each.first, now) > 0; }));
}

void upstream_rates::tick(const upstream_directory &directory, time_point now)
{
    const auto isGone = [&](const upstream_id &id, incarnation_number incarnation) {
        const live_upstream *known = directory.find(id);
        return known == nullptr || known->incarnation > incarnation;
    };
    std::vector<upstream_id> changed;
    std::erase_if(m_statements, [&](const auto &entry) {
        const bool gone = isGone(entry.first, entry.second.incarnation);
        if (gone)
            changed.push_back(entry.first);
        return gone;
    });
    std::erase_if(m_warmUps, [&](const auto &entry) {
        const bool ended =
            now >= entry.second.until || isGone(entry.first, entry.second.incarnation);
        if (ended)
            changed.push_back(entry.first);
        return ended;
    });
    for (const upstream_id &id : changed) {
        if (m_statements.contains(id) || m_warmUps.contains(id)) {
            updateLimit(id, now);
        } else {
            m_limits.erase(id);
            m_turnUse.erase(id);
            m_sent.remove(id);
        }
    }
}

} // namespace tamarack
