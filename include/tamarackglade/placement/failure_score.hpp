// How often an upstream failed lately, and for how long it gets no work.
#pragma once

#include <tamarackglade/core/time.hpp>

#include <chrono>

namespace tamarack {

enum class attempt_fault {
    Unreachable, // no connection
    Silent, // nothing came for too long
    Broken, // the connection or the answer broke off
    Failed, // it answered with a failure of its own
    Refused, // it was full, or refused for another reason
    Replaced // another upstream answered at the address
};

/// @brief Times and weights of the score.
struct failure_options
{
    duration halfLife = std::chrono::seconds(4); // of a failure's weight
    duration firstEjection = std::chrono::milliseconds(500); // doubles with each further failure
    duration maxEjection = std::chrono::seconds(4);
    double ejectionScore = 1.5; // of failures that don't eject by themselves
    double refusalWeight = 0.3; // a refusal may only mean that others were faster
    double successFactor = 0.7; // by which a success lessens the score
};

/// @brief Remembers failures beyond the next success, so that an upstream that fails a part of its
/// requests is avoided too. One that fails at once looks empty and would draw all requests.
class failure_score
{
public:
    explicit failure_score(failure_options options = {}) : m_options(options) { }

    void onFault(attempt_fault fault, time_point now);
    void onSuccess(time_point now);

    /// @return whether it gets no work
    [[nodiscard]] bool ejected(time_point now) const { return now < m_ejectedUntil; }
    /// @return failures lately, each weighing less with time
    [[nodiscard]] double score(time_point now) const;

private:
    [[nodiscard]] bool ejectsImmediately(attempt_fault fault) const;

    failure_options m_options;
    double m_score = 0; // at m_scoredAt
    time_point m_scoredAt{};
    time_point m_ejectedUntil{};
};

} // namespace tamarack
