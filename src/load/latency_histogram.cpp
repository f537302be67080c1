// Quantiles by the cells' upper bounds.
#include <tamarackglade/load/latency_histogram.hpp>

#include <cmath>

namespace tamarack {

void latency_histogram::add(duration latency)
{
    m_cells(toSeconds(latency));
    ++m_came;
}

void latency_histogram::merge(const latency_histogram &other)
{
    m_cells += other.m_cells;
    m_came += other.m_came;
    m_never += other.m_never;
}

std::optional<duration> latency_histogram::quantile(double share) const
{
    const auto rank = static_cast<std::uint64_t>(std::ceil(share * static_cast<double>(count())));
    if (count() == 0 || rank > m_came)
        return std::nullopt;
    double seen = 0;
    // Cell -1 holds what is below the lowest bound.
    for (int cell = -1; cell < static_cast<int>(Cells); ++cell) {
        seen += static_cast<double>(m_cells.at(cell));
        if (seen >= static_cast<double>(rank))
            return fromSeconds(m_cells.axis().value(cell + 1));
    }
    return fromSeconds(Highest);
}

} // namespace tamarack
