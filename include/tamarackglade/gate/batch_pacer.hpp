// Limits the number of batch streams that run beside online streams.
#pragma once

#include <tamarackglade/core/time.hpp>
#include <tamarackglade/gate/gate_options.hpp>
#include <tamarackglade/gate/iteration_model.hpp>

#include <cstddef>
#include <optional>

namespace tamarack {

/// @brief Derives limits on online and batch streams from predicted iteration times.
class batch_pacer
{
public:
    explicit batch_pacer(const gate_options &options);

    /// @brief Adds an observed gap between two tokens of one stream to the iteration model.
    /// @param streams number of streams that ran during the gap
    void onTokenGap(std::size_t streams, duration gap);

    /// @brief Sets gate_options::onlineProtection, from 0 to 1.
    void setOnlineProtection(double share) { m_options.onlineProtection = share; }

    /// @brief Blocks new batch streams for gate_options::batchGrowthDelay after one had to yield.
    void onYield(time_point now);

    /// @return the maximum number of online streams, at least 1
    [[nodiscard]] std::size_t onlineLimit() const;

    /// @return the maximum number of batch streams beside that many online streams
    [[nodiscard]] std::size_t batchLimit(std::size_t online) const;

    /// @return whether a batch stream may start or resume now
    [[nodiscard]] bool mayGrow(time_point now) const;

    /// @return when batch streams may start again; nullopt if they may now
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
