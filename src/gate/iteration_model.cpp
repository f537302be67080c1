// Least-squares fit of iteration times.
#include <tamarackglade/gate/iteration_model.hpp>

#include <algorithm>
#include <cmath>

namespace tamarack {

namespace {

constexpr double DecayPerSample = 0.998; // factor on the weights of earlier samples
constexpr double PriorWeight = 4; // in samples, at each of the two points of the prior
constexpr double PriorSpread = 32; // streams at the second point of the prior
constexpr double MinPerStream = 1e-6; // seconds; keeps streamsWithin finite

} // namespace

iteration_model::iteration_model(duration base, duration perStream)
    : m_base(toSeconds(base)), m_perStream(std::max(toSeconds(perStream), MinPerStream)),
      m_priorBase(m_base), m_priorPerStream(m_perStream)
{
}

void iteration_model::observe(std::size_t streams, duration gap)
{
    m_sumWeight *= DecayPerSample;
    m_sumStreams *= DecayPerSample;
    m_sumStreamsSquared *= DecayPerSample;
    m_sumTime *= DecayPerSample;
    m_sumStreamsTime *= DecayPerSample;
    addSample(static_cast<double>(streams), toSeconds(gap), 1);
    fit();
}

duration iteration_model::predict(std::size_t streams) const
{
    return fromSeconds(m_base + m_perStream * static_cast<double>(streams));
}

std::size_t iteration_model::streamsWithin(duration gap) const
{
    const double room = toSeconds(gap) - m_base;
    if (room <= 0)
        return 0;
    constexpr double RoundingTolerance = 1e-9;
    return static_cast<std::size_t>(room / m_perStream + RoundingTolerance);
}

void iteration_model::addSample(double streams, double seconds, double weight)
{
    m_sumWeight += weight;
    m_sumStreams += weight * streams;
    m_sumStreamsSquared += weight * streams * streams;
    m_sumTime += weight * seconds;
    m_sumStreamsTime += weight * streams * seconds;
}

void iteration_model::fit()
{
    // The prior counts as samples at 0 and at PriorSpread streams whose weight does not decay.
    const double priorAtSpread = m_priorBase + m_priorPerStream * PriorSpread;
    const double weight = m_sumWeight + 2 * PriorWeight;
    const double streams = m_sumStreams + PriorWeight * PriorSpread;
    const double squared = m_sumStreamsSquared + PriorWeight * PriorSpread * PriorSpread;
    const double time = m_sumTime + PriorWeight * (m_priorBase + priorAtSpread);
    const double product = m_sumStreamsTime + PriorWeight * PriorSpread * priorAtSpread;
    const double determinant = weight * squared - streams * streams;
    m_perStream = std::max((weight * product - streams * time) / determinant, MinPerStream);
    m_base = std::max((time - m_perStream * streams) / weight, 0.0);
}

} // namespace tamarack
