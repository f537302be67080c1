// What shows to which request a response belongs, for logs.
#pragma once

#include <tamarackglade/attribution/connection_history.hpp>
#include <tamarackglade/attribution/response_facts.hpp>
#include <tamarackglade/core/time.hpp>
#include <tamarackglade/logging/log_event.hpp>

#include <optional>

namespace tamarack {

/// What is known of the start that the upstream's record names, when the request is sent.
enum class start_evidence {
    NotAsked, // the record is recent, or the version doesn't matter
    Confirmed, // the upstream has just stated this start
    Unanswered, // the upstream was asked and didn't answer in time
    Different // it stated another start, or none
};

/// @brief State of an attempt's connection before the request, and the head of the response.
struct attempt_evidence
{
    connection_history before; // of the connection, without the present request
    std::optional<duration> idleFor; // nullopt for a new connection
    std::optional<response_facts> response; // nullopt if no head came
    unsigned skippedCopies = 0; // responses to earlier requests that came before the head
    duration headAfter{}; // from the start of sending to the head
    start_evidence start = start_evidence::NotAsked;
    duration startAfter{}; // how long the question for the start took
    duration silentFor{}; // at the end of the attempt, since its last progress
};

/// @brief Adds the evidence's fields to a log line.
void addEvidence(log_event &line, const attempt_evidence &evidence, const request_id &request);

} // namespace tamarack
