// Computes quantiles from the upper bounds of the bins.
#include <tamarackglade/load/latency_histogram.hpp>

#include <cmath>

namespace tamarack {

void latency_histogram::add(duration latency)
{
    m_bins(toSeconds(latency));
    ++m_recorded;
}

void latency_histogram::merge(const latency_histogram &other)
{
    m_bins += other.m_bins;
    m_recorded += other.m_recorded;
    m_missing += other.m_missing;
}

std::optional<duration> latency_histogram::quantile(double share) const
{
    const auto rank = static_cast<std::uint64_t>(std::ceil(share * static_cast<double>(count())));
    if (count() == 0 || rank > m_recorded)
        return std::nullopt;
    double seen = 0;
    // Bin -1 holds the latencies below MinSeconds.
    for (int bin = -1; bin < static_cast<int>(BinCount); ++bin) {
        seen += static_cast<double>(m_bins.at(bin));
        if (seen >= static_cast<double>(rank))
            return fromSeconds(m_bins.axis().value(bin + 1));
    }
    return fromSeconds(MaxSeconds);
}

} // namespace tamarack
