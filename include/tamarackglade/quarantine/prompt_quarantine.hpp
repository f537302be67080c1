// Quarantine of prompt parts that crash upstreams.
#pragma once

#include <tamarackglade/quarantine/crash_evidence.hpp>
#include <tamarackglade/quarantine/quarantined_part.hpp>

#include <optional>
#include <unordered_map>
#include <vector>

namespace tamarack {

/// @brief Why and for how long a request is refused.
struct blocked_part
{
    prompt_part_id part;
    duration wait{}; // until the next trial request; may be zero
};

/// @brief Why a part was quarantined or released.
enum class quarantine_reason {
    Crashes, // successive crashes
    FailedTrial, // a trial request was sent and got no event
    Success, // a run with the part delivered its first event
    OtherPart, // another part causes its crashes
    NoCrashes, // the upstreams that broke its runs off go on serving
    Reported // by another gateway or by a record in the store
};

/// @brief A change to log.
struct quarantine_change
{
    quarantined_part state;
    quarantine_reason reason = quarantine_reason::Reported;
    crash_count evidence; // valid if reason is Crashes
};

/// @brief A recent success of a part that some gateway suspects.
struct sound_part
{
    part_hash part;
    time_point at{};
};

/// @brief Decides which prompt parts are refused, from the runs of all gateways.
///
/// Gateways exchange breaks, successes of suspected parts and quarantined parts. A decision of one
/// gateway is in force at all that it reaches. Memory is bounded by the options.
class prompt_quarantine
{
public:
    /// @param self this gateway, with the number of its start
    prompt_quarantine(vm_id self, incarnation_number incarnation, quarantine_options options);

    /// @return the part for which a request is refused, or nullopt; O(number of parts)
    [[nodiscard]] std::optional<blocked_part>
    check(const group_id &group, const std::vector<prompt_part_id> &parts, time_point now) const;
    /// @brief Checks again just before a request is sent. If it is a trial request, no other one is
    /// sent until endRun.
    [[nodiscard]] std::optional<blocked_part>
    beginRun(const group_id &group, const std::vector<prompt_part_id> &parts, time_point now);
    /// @brief Records that a run delivered its first event.
    void onFirstEvent(const group_id &group, const std::vector<prompt_part_id> &parts,
                      time_point now);
    /// @brief Records a break of this gateway.
    /// @return the break with its reporter and number
    broken_run onBreak(broken_run broken, time_point now);
    /// @brief Records the end of a run. A trial request without an event extends the quarantine, as
    /// its upstream may have crashed unnoticed.
    /// @param sent whether the upstream may have run the request
    void endRun(const group_id &group, const std::vector<prompt_part_id> &parts, bool sent,
                time_point now);

    /// @brief Applies a break that a peer reported.
    void onPeerBreak(const broken_run &broken, time_point now);
    /// @brief Applies a success that a peer reported.
    void onPeerSuccess(const sound_part &sound);
    /// @brief Applies a state that a peer reported or that was read from the store.
    void adopt(const quarantined_part &state, time_point now);

    /// @brief Evaluates the evidence; call several times a second.
    /// @param peerSuccesses sum of recentSuccesses() of the reachable peers
    /// @param serving the gateways that serve requests; one of them sends a part's trial requests
    void tick(double peerSuccesses, std::vector<vm_id> serving, time_point now);

    /// @brief Records that an upstream delivered an event of a run, at this gateway or at a peer.
    void onServed(const served_run &run) { m_evidence.addServed(run.instance, run.sentAt); }
    /// @brief Replaces the upstream instances that are listed as serving.
    void setListed(crash_evidence::instance_set listed) { m_evidence.setListed(std::move(listed)); }
    /// @brief Sets how breaks are found that another request is to blame for.
    void setFaultOfAnother(crash_evidence::fault_predicate isFaultOfAnother)
    {
        m_evidence.setFaultOfAnother(std::move(isFaultOfAnother));
    }
    /// @return whether the instance has served a run that was sent after the given time
    [[nodiscard]] bool livesOn(instance_hash instance, time_point since) const
    {
        return m_evidence.livesOn(instance, since);
    }
    /// @return whether there are breaks to explain
    [[nodiscard]] bool hasBreaks() const { return !m_evidence.empty(); }
    /// @return runs that prove that recent breaks were no crashes, for peers
    [[nodiscard]] std::vector<served_run> servedSinceBreak(time_point now) const
    {
        return m_evidence.servedSinceBreak(now);
    }

    /// @return the breaks that this gateway saw after the given time
    [[nodiscard]] std::vector<broken_run> ownBreaks(time_point since) const
    {
        return m_evidence.breaksOf(m_self, since);
    }
    /// @return successes of suspected parts within the last recentSuccess
    [[nodiscard]] std::vector<sound_part> soundSuspects(time_point now) const;
    /// @return all states, also released ones
    [[nodiscard]] std::vector<quarantined_part> states() const;
    /// @return runs of this gateway with a first event, decaying over rateWindow
    [[nodiscard]] double recentSuccesses(time_point now) const;
    /// @return the number of parts in quarantine
    [[nodiscard]] std::size_t size() const;
    /// @brief Returns the changes since the last call.
    [[nodiscard]] std::vector<quarantine_change> takeChanges();

private:
    struct entry
    {
        quarantined_part state;
        std::optional<time_point> trialSince; // while a trial request of this gateway runs
        time_point usedAt{}; // last change or refusal
        bool decidedHere = false; // by the evidence of crashes
    };

    [[nodiscard]] bool maySendTrial(part_hash part, const entry &known, time_point now) const;
    [[nodiscard]] bool isQuarantined(part_hash part) const;
    void quarantine(const crash_finding &finding, quarantine_reason reason, time_point now);
    void releaseExplainedBy(part_hash cause, time_point now);
    /// @brief Releases parts whose breaks have turned out to be no crashes.
    void releaseWithoutCrashes(time_point now);
    void release(entry &known, quarantine_reason reason, time_point now);
    void adoptNew(const quarantined_part &state, time_point now);
    void store(const quarantined_part &state, time_point now);
    void makeRoom();

    const vm_id m_self;
    const incarnation_number m_incarnation;
    const quarantine_options m_options;
    crash_evidence m_evidence;
    std::unordered_map<part_hash, entry> m_parts; // at most maxParts
    std::vector<quarantine_change> m_changes;
    std::vector<vm_id> m_serving;
    std::uint64_t m_breaks = 0; // number of the last break
    double m_successes = 0; // decaying count at m_successesAt
    time_point m_successesAt{};
};

} // namespace tamarack
