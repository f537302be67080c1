// Limits on online and batch streams, from predicted iteration times.
#include <tamarackglade/gate/batch_pacer.hpp>

#include <algorithm>

namespace tamarack {

namespace {

constexpr double FullProtectionGrowth = 1.05; // of the token gap without batch, at full protection
// Fraction of the targets left unused, to allow for errors of the fitted model.
constexpr double Headroom = 0.02;
// Iterations until the first token: the one in progress, that of the prompt, and one in reserve.
constexpr int IterationsToFirstToken = 3;

} // namespace

batch_pacer::batch_pacer(const gate_options &options)
    : m_options(options), m_model(options.priorBase, options.priorPerStream)
{
}

void batch_pacer::onTokenGap(std::size_t streams, duration gap)
{
    m_model.observe(streams, gap);
}

void batch_pacer::onYield(time_point now)
{
    m_growthAllowedAt = now + m_options.batchGrowthDelay;
}

std::size_t batch_pacer::onlineLimit() const
{
    if (m_options.kind == schema::upstream_kind::Service)
        return m_options.maxStreams;
    const auto within = m_model.streamsWithin(m_options.tokenGapTarget);
    return std::clamp<std::size_t>(within, 1, m_options.maxStreams);
}

std::size_t batch_pacer::batchLimit(std::size_t online) const
{
    std::size_t total = m_options.maxStreams;
    if (m_options.kind == schema::upstream_kind::Engine)
        total = std::min(total, m_model.streamsWithin(allowedGap(online)));
    return total > online ? total - online : 0;
}

bool batch_pacer::mayGrow(time_point now) const
{
    return now >= m_growthAllowedAt;
}

std::optional<time_point> batch_pacer::growthAllowedAt(time_point now) const
{
    return mayGrow(now) ? std::nullopt : std::optional(m_growthAllowedAt);
}

duration batch_pacer::predictedIteration(std::size_t streams) const
{
    return m_model.predict(streams);
}

duration batch_pacer::allowedGap(std::size_t online) const
{
    const auto bound =
        std::min(m_options.tokenGapTarget, m_options.firstTokenTarget / IterationsToFirstToken);
    const auto target = toSeconds(bound) * (1 - Headroom);
    if (online == 0)
        return fromSeconds(target);
    const auto alone = toSeconds(m_model.predict(online)) * FullProtectionGrowth;
    const auto room = std::max(target - alone, 0.0);
    return fromSeconds(std::min(alone, target) + (1 - m_options.onlineProtection) * room);
}

} // namespace tamarack
