// Latencies in a logarithmic histogram, with those that never came.
#pragma once

#include <tamarackglade/core/time.hpp>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <cstdint>
#include <optional>

namespace tamarack {

/// @brief Counts latencies from 1 us to 10,000 s in steps of about 1.5%.
class latency_histogram
{
public:
    void add(duration latency);

    /// @brief Counts awaited events that did not come; they are later than any that did.
    void addNever(std::uint64_t count = 1) { m_never += count; }

    void merge(const latency_histogram &other);

    /// @return the latency that a share of all events is within; none if it never is, or if there
    /// are no events; complexity O(cells)
    [[nodiscard]] std::optional<duration> quantile(double share) const;

    /// @return events, with those that never came
    [[nodiscard]] std::uint64_t count() const { return m_came + m_never; }

private:
    using log_axis =
        boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    static constexpr unsigned Cells = 1536;
    static constexpr double Lowest = 1e-6; // seconds
    static constexpr double Highest = 1e4; // seconds

    boost::histogram::histogram<std::tuple<log_axis>> m_cells{
        std::make_tuple(log_axis(Cells, Lowest, Highest))};
    std::uint64_t m_came = 0;
    std::uint64_t m_never = 0;
};

} // namespace tamarack
