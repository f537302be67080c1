// A circuit breaker for one upstream.
#pragma once

#include <tamarackglade/core/time.hpp>
#include <tamarackglade/routing/attempt_result.hpp>
#include <tamarackglade/routing/health_options.hpp>

#include <optional>

namespace tamarack {

/// @brief Ejects an upstream that fails in a row or too often, and lets single probes
/// back. Each further ejection is twice as long, until a probe succeeds.
class upstream_health
{
public:
    explicit upstream_health(health_options options);

    void onAttemptStarted(time_point now);
    void onAttemptEnded(attempt_result result, time_point now);

    /// @return whether the upstream may get an attempt: not ejected, or a probe is due
    [[nodiscard]] bool mayUse(time_point now) const;

    /// @return until when it is ejected, if it is
    [[nodiscard]] std::optional<time_point> ejectedUntil() const { return m_ejectedUntil; }

    /// @return when the last ejection ended by a successful probe
    [[nodiscard]] std::optional<time_point> returnedAt() const { return m_returnedAt; }

private:
    void onFailure(time_point now);
    void onSuccess(time_point now);
    void eject(time_point now);

    health_options m_options;
    int m_consecutiveFailures = 0; // failures since the last success
    int m_attempts = 0; // ended since the last return, capped at minAttempts
    double m_errorRate = 0; // moving average, from 0 to 1
    std::optional<time_point> m_ejectedUntil; // set: only probes after it
    bool m_probing = false; // implies that m_ejectedUntil is set
    duration m_nextEjection;
    std::optional<time_point> m_returnedAt;
};

} // namespace tamarack
