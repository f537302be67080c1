// Token buckets with the rates that upstreams state.
#include <tamarackglade/core/hash.hpp>
#include <tamarackglade/placement/upstream_rates.hpp>

#include <algorithm>

namespace tamarack {

namespace {

// Lowest rate that is used. An upstream that accepts nothing could never end its limit, as only its
// responses do.
constexpr double MinRate = 0.2; // requests per second
constexpr double BurstSeconds = 2.0; // the bucket holds the requests of this time
// Time for which a turn lasts; about that until the reports of all gateways have arrived.
constexpr std::chrono::milliseconds TurnLength{300};
constexpr double MinBurst = 1.0; // requests
constexpr double OnlineTokens = 1.0; // that an online request needs
constexpr double BatchTokens = 2.0; // that a batch item needs, so that one is left

double burstOf(double rate)
{
    return std::max(MinBurst, rate * BurstSeconds);
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
    if (changed) {
        const double rate = usedRate(statement);
        m_sent.setLimit(statement.upstream, rate, burstOf(rate), now);
    }
    return changed;
}

bool upstream_rates::maySend(const upstream_id &upstream, work_class work, time_point now) const
{
    if (m_statements.empty())
        return true;
    const auto found = m_statements.find(upstream);
    if (found == m_statements.end() || !found->second.rate)
        return true;
    const double burst = burstOf(usedRate(found->second));
    const double tokens = work == work_class::Online ? OnlineTokens : std::min(burst, BatchTokens);
    return m_sent.tokens(upstream, now) >= tokens && hasTurn(upstream, now);
}

double upstream_rates::exhaustion(const upstream_id &upstream, time_point now) const
{
    if (m_statements.empty())
        return 0;
    const auto found = m_statements.find(upstream);
    if (found == m_statements.end() || !found->second.rate)
        return 0;
    const double left = m_sent.tokens(upstream, now) / burstOf(usedRate(found->second));
    return std::clamp(1 - left, 0.0, 1.0);
}

// In each turn as many gateways may send as there are tokens, on average. They need no common
// clock, as each turn is drawn by a hash.
bool upstream_rates::hasTurn(const upstream_id &upstream, time_point now) const
{
    constexpr double MaxHash = 18446744073709551616.0; // 2^64
    const auto turn = static_cast<std::uint64_t>(now.time_since_epoch() / TurnLength);
    const std::uint64_t hash = stableHash(m_self.value(), stableHash(upstream.value(), turn));
    return static_cast<double>(hash) / MaxHash < m_sent.tokens(upstream, now) * m_loadShare;
}

std::vector<rate_statement> upstream_rates::statements() const
{
    std::vector<rate_statement> statements;
    for (const auto &[upstream, statement] : m_statements)
        statements.push_back(statement);
    return statements;
}

std::size_t upstream_rates::limited() const
{
    return static_cast<std::size_t>(
        std::count_if(m_statements.begin(), m_statements.end(),
                      [](const auto &each) { return each.second.rate.has_value(); }));
}

void upstream_rates::tick(const upstream_directory &directory)
{
    for (auto each = m_statements.begin(); each != m_statements.end();) {
        const live_upstream *known = directory.find(each->first);
        if (known != nullptr && known->incarnation <= each->second.incarnation) {
            ++each;
            continue;
        }
        m_sent.remove(each->first);
        each = m_statements.erase(each);
    }
}

} // namespace tamarack
