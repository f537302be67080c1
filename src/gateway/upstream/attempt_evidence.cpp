// Names of the evidence's fields in logs.
#include <tamarackglade/gateway/upstream/attempt_evidence.hpp>

namespace tamarack {

namespace {

double millisecondsOf(duration time)
{
    return toSeconds(time) * 1000;
}

const char *nameOf(start_evidence start)
{
    switch (start) {
    case start_evidence::NotAsked:
        return "not asked";
    case start_evidence::Confirmed:
        return "confirmed";
    case start_evidence::Unanswered:
        return "unanswered";
    case start_evidence::Different:
        return "different";
    }
    return "";
}

} // namespace

void addEvidence(log_event &line, const attempt_evidence &evidence, const request_id &request)
{
    line.with("connection", evidence.idleFor ? "kept" : "new")
        .with("carried", evidence.before.requests())
        .with("carried_this", evidence.before.carried(request))
        .with("carried_unnamed", evidence.before.hasUnnamedResponse());
    if (evidence.idleFor)
        line.with("idle_ms", millisecondsOf(*evidence.idleFor));
    line.with("silent_ms", millisecondsOf(evidence.silentFor))
        .with("start", nameOf(evidence.start));
    if (evidence.start != start_evidence::NotAsked)
        line.with("start_ms", millisecondsOf(evidence.startAfter));
    if (evidence.skippedCopies > 0)
        line.with("skipped_copies", evidence.skippedCopies);
    if (!evidence.response)
        return;
    const response_facts &response = *evidence.response;
    line.with("head_status", response.status)
        .with("head_ms", millisecondsOf(evidence.headAfter))
        .with("names", response.names ? response.names->value() : "")
        .with("instance", response.instance ? response.instance->value() : "")
        .with("signed", response.isSigned)
        .with("claims_not_run", response.claimsNotRun);
}

} // namespace tamarack
