// A circuit breaker for one upstream.
#pragma once

#include <tamarackglade/core/time.hpp>
#include <tamarackglade/routing/attempt_result.hpp>
#include <tamarackglade/routing/health_options.hpp>

#include <optional>

namespace tamarack {

/// @brief Ejects an upstream after consecutive failures or at a high error rate.
/// After the ejection, one attempt at a time probes the upstream. A failed probe ejects it again,
/// for twice as long up to health_options::maxEjection; a successful one ends the ejection and
/// resets its length.
class upstream_health
{
public:
    explicit upstream_health(health_options options);

    /// @brief Counts the attempt as a probe if the last ejection is over.
    void onAttemptStarted(time_point now);
    /// @brief Updates the failure counts; may eject the upstream or end its ejection.
    void onAttemptEnded(attempt_result result, time_point now);

    /// @return whether an attempt may be sent: the upstream is not ejected, or a probe is due
    [[nodiscard]] bool mayUse(time_point now) const;

    /// @return the end of the ejection; nullopt if the upstream is not ejected
    [[nodiscard]] std::optional<time_point> ejectedUntil() const { return m_ejectedUntil; }

    /// @return when a successful probe last ended an ejection; nullopt if none did
    [[nodiscard]] std::optional<time_point> returnedAt() const { return m_returnedAt; }

private:
    void onFailure(time_point now);
    void onSuccess(time_point now);
    void eject(time_point now);

    health_options m_options;
    int m_consecutiveFailures = 0; // since the last success
    int m_attempts = 0; // finished since the last ejection ended, capped at minAttempts
    double m_errorRate = 0; // moving average, from 0 to 1
    std::optional<time_point> m_ejectedUntil; // if set, only probes are allowed, and only after it
    bool m_probing = false; // implies that m_ejectedUntil is set
    duration m_nextEjection;
    std::optional<time_point> m_returnedAt;
};

} // namespace tamarack
