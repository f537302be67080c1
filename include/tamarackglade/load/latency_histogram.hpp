// Logarithmic histogram of latencies that also counts events without a latency.
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

    /// @brief Counts events that never happened; they rank above every latency.
    void addMissing(std::uint64_t count = 1) { m_missing += count; }

    void merge(const latency_histogram &other);

    /// @return the upper bound of the bin that contains the quantile; none if the quantile falls on
    /// events that never happened or if there are no events; complexity O(bins)
    /// @param share from 0 to 1
    [[nodiscard]] std::optional<duration> quantile(double share) const;

    /// @return the number of events, including those that never happened
    [[nodiscard]] std::uint64_t count() const { return m_recorded + m_missing; }

private:
    using log_axis =
        boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    static constexpr unsigned BinCount = 1536;
    static constexpr double MinSeconds = 1e-6;
    static constexpr double MaxSeconds = 1e4;

    boost::histogram::histogram<std::tuple<log_axis>> m_bins{
        std::make_tuple(log_axis(BinCount, MinSeconds, MaxSeconds))};
    std::uint64_t m_recorded = 0;
    std::uint64_t m_missing = 0;
};

} // namespace tamarack
