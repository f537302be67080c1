// A circuit breaker for one upstream.
#pragma once

#include <tamarackglade/core/time.hpp>
#include <tamarackglade/routing/attempt_result.hpp>
#include <tamarackglade/routing/health_options.hpp>

#include <optional>

namespace tamarack {

/// @brief Ejects an upstream that fails in a row or too often, and lets single probes back.
/// Each further ejection is twice as long, until a probe succeeds.
class upstream_health
{
public:
    explicit upstream_health(health_options options);

    void onAttemptStarted(instant now);
    void onAttemptEnded(attempt_result result, instant now);

    /// @return whether the upstream may get an attempt: not ejected, or a probe is due
    [[nodiscard]] bool mayUse(instant now) const;

    /// @return until when it is ejected, if it is
    [[nodiscard]] std::optional<instant> ejectedUntil() const { return m_ejectedUntil; }

    /// @return when the last ejection ended by a successful probe
    [[nodiscard]] std::optional<instant> returnedAt() const { return m_returnedAt; }

private:
    void onFailure(instant now);
    void onSuccess(instant now);
    void eject(instant now);

    health_options m_options;
    int m_inRow = 0; // failures since the last success
    int m_attempts = 0; // ended since the last return, capped at minAttempts
    double m_errorRate = 0; // moving average, from 0 to 1
    std::optional<instant> m_ejectedUntil; // set: only probes after it
    bool m_probing = false; // implies that m_ejectedUntil is set
    duration m_nextEjection;
    std::optional<instant> m_returnedAt;
};

} // namespace tamarack
