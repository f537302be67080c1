// Recent failures of one upstream and its ejection from placement.
#pragma once

#include <tamarackglade/core/time.hpp>

#include <chrono>

namespace tamarack {

/// @brief How an attempt at an upstream failed.
enum class attempt_fault {
    Unreachable, // no connection was established
    Silent, // no data arrived within the timeout
    Broken, // the connection or the answer ended early
    Failed, // the upstream answered with an error
    Refused, // the upstream had no free slot or refused for another reason
    Replaced // another upstream answered at this address
};

/// @brief Durations and weights of a failure_score.
struct failure_options
{
    duration halfLife = std::chrono::seconds(4); // of the weight of a failure
    duration firstEjection = std::chrono::milliseconds(500); // doubles with each further failure
    duration maxEjection = std::chrono::seconds(4); // limit of the doubling
    // Score from which failures that don't eject immediately lead to an ejection.
    double ejectionScore = 1.5;
    // Below 1, as a refusal may only mean that other gateways took the last slots.
    double refusalWeight = 0.3;
    double successFactor = 0.7; // multiplies the score on each success
    // Failures without an answer in between from which an upstream takes no work of a group that
    // has others to choose from.
    double failingStreak = 2;
    double streakOfRefusal = 0.25; // below 1, as refusalWeight
    duration firstPause = std::chrono::seconds(1); // until one request tries it; doubles
    duration maxPause = std::chrono::seconds(8); // limit of the doubling
    duration trialTime = std::chrono::seconds(1); // until another request may try it, too
};

/// @brief Decaying failure score of one upstream, and its ejection.
///
/// A success reduces the score instead of clearing it, so that an upstream that fails only some of
/// its requests is avoided too. Without the score, an upstream that fails immediately would always
/// have the most free slots and would attract all requests.
class failure_score
{
public:
    explicit failure_score(failure_options options = {}) : m_options(options) { }

    /// @brief Adds a failure to the score, and ejects the upstream if the failure or score requires
    /// it.
    void onFault(attempt_fault fault, time_point now);
    /// @brief Reduces the score and ends the ejection.
    void onSuccess(time_point now);

    /// @brief Ends the streak of failures: the upstream has begun to answer a request.
    void onAnswer();
    /// @brief Notes that a request is sent. The first one after the pause of a failing upstream is
    /// a trial; the upstream counts as failing until its outcome is known.
    void onSent(time_point now);

    /// @return whether the upstream failed all of its last requests, and isn't due for a trial
    [[nodiscard]] bool failing(time_point now) const { return now < m_failingUntil; }
    /// @return whether the upstream receives no work at this time
    [[nodiscard]] bool ejected(time_point now) const { return now < m_ejectedUntil; }
    /// @return the weighted number of recent failures; the weight halves each halfLife
    [[nodiscard]] double score(time_point now) const;

private:
    void extendStreak(attempt_fault fault, time_point now);
    [[nodiscard]] bool ejectsImmediately(attempt_fault fault) const;

    failure_options m_options;
    double m_score = 0; // at m_scoredAt
    time_point m_scoredAt{};
    time_point m_ejectedUntil{};
    double m_streak = 0; // failures since the last answer
    duration m_pause{}; // the last one before a trial; zero if there was none in this streak
    time_point m_failingUntil{};
    bool m_onTrial = false; // a trial was sent, and no failure has followed yet
};

} // namespace tamarack
