// Estimates an engine's iteration time as a function of its number of streams.
#pragma once

#include <tamarackglade/core/time.hpp>

#include <cstddef>

namespace tamarack {

/// @brief Fits iteration time = base + perStream * streams to observed token gaps.
/// Uses least squares with exponentially decaying weights. A weak prior determines the fit where
/// samples are missing. The linear form is that of Fleet Sim's manual profile (W + H*n).
class iteration_model
{
public:
    /// @param base prior of the iteration time without streams
    /// @param perStream prior of the iteration time that each stream adds
    iteration_model(duration base, duration perStream);

    /// @brief Adds an observed gap between two tokens of one stream.
    /// @param streams number of streams that ran during the gap
    void observe(std::size_t streams, duration gap);

    /// @return the expected iteration time with that many streams
    [[nodiscard]] duration predict(std::size_t streams) const;

    /// @return the maximum number of streams whose expected iteration time is at most gap
    [[nodiscard]] std::size_t streamsWithin(duration gap) const;

private:
    void addSample(double streams, double seconds, double weight);
    void fit();

    // Weighted sums over the samples of 1, n, n*n, t and n*t, for n streams and t seconds.
    double m_sumWeight = 0;
    double m_sumStreams = 0;
    double m_sumStreamsSquared = 0;
    double m_sumTime = 0;
    double m_sumStreamsTime = 0;
    double m_base; // seconds, at least 0
    double m_perStream; // seconds, above 0
    const double m_priorBase;
    const double m_priorPerStream;
};

} // namespace tamarack
