// Decides how many batch streams may run beside online ones.
#pragma once

#include <tamarackglade/core/time.hpp>
#include <tamarackglade/gate/gate_options.hpp>
#include <tamarackglade/gate/iteration_model.hpp>

#include <cstddef>
#include <optional>

namespace tamarack {

/// @brief Turns predicted iteration times into limits on online and batch streams.
class batch_pacer
{
public:
    explicit batch_pacer(const gate_options &options);

    /// @brief Learns from a gap between two tokens of one stream.
    void onTokenGap(std::size_t streams, duration gap);

    /// @brief Sets the knob of gate_options::onlineProtection, from 0 to 1.
    void setOnlineProtection(double share) { m_options.onlineProtection = share; }

    /// @brief Notes that batch had to yield; it does not grow for a while.
    void onYield(time_point now);

    /// @return how many online streams may run, at least 1
    [[nodiscard]] std::size_t onlineLimit() const;

    /// @return how many batch streams may run beside that many online streams
    [[nodiscard]] std::size_t batchLimit(std::size_t online) const;

    /// @return whether more batch may start now
    [[nodiscard]] bool mayGrow(time_point now) const;

    /// @return when batch may grow again, if it may not now
    [[nodiscard]] std::optional<time_point> growthAllowedAt(time_point now) const;

    /// @return the expected iteration time with that many streams
    [[nodiscard]] duration predictedIteration(std::size_t streams) const;

private:
    [[nodiscard]] duration allowedGap(std::size_t online) const;

    gate_options m_options;
    iteration_model m_model;
    time_point m_growthAllowedAt{};
};

} // namespace tamarack
