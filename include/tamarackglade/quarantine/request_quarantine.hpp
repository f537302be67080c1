// Quarantine of requests that crash upstreams.
#pragma once

#include <tamarackglade/quarantine/quarantined_request.hpp>
#include <tamarackglade/quarantine/request_crashes.hpp>

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace tamarack {

/// @brief Why a request is not sent.
struct blocked_request
{
    bool quarantined = false; // otherwise it is suspected only
    duration retryAfter{}; // when it may be sent; zero if that can't be foreseen
};

/// @brief How a run ended, as far as the quarantine is concerned.
enum class run_end {
    Proper, // the upstream gave a whole response
    NotRun, // the upstream did not run it
    Other
};

/// @brief Why a request was quarantined or released.
enum class request_quarantine_reason {
    Crashes, // of maxCrashes instances
    Trial, // a quarantined request is sent again
    Success, // a run ended properly
    OtherRequests, // requests in quarantine explain its crashes
    NoCrashes, // the instances that broke its runs off serve on
    Reported // by another gateway or by a record in the store
};

/// @brief A change to log.
struct request_quarantine_change
{
    quarantined_request state;
    request_quarantine_reason reason = request_quarantine_reason::Reported;
    std::vector<request_crash> crashes; // known at this gateway
};

/// @brief A recent proper end of a request with crashes.
struct sound_request
{
    request_fingerprint request;
    time_point at{};
};

/// @brief Decides which requests are refused or put off, from the runs of all gateways.
///
/// A request with maxCrashes crashes is refused everywhere. It is sent again by trials of one
/// gateway, at most maxTrials in all, and forgotten when it hasn't been asked for during
/// forgetAfter. Before that, a suspected request runs once at a time, and is put off while many
/// upstreams of its group are down.
class request_quarantine
{
public:
    request_quarantine(vm_id self, const request_quarantine_options &options);

    /// @brief Checks a request that was asked for, which keeps its record.
    /// @return why the request is not sent, or nullopt
    [[nodiscard]] std::optional<blocked_request> check(const request_fingerprint &request,
                                                       const group_id &group, time_point now);
    /// @brief Checks again just before a run, and counts it. Each call without a result needs one
    /// of endRun.
    [[nodiscard]] std::optional<blocked_request> beginRun(const request_fingerprint &request,
                                                          const group_id &group, time_point now);
    void endRun(const request_fingerprint &request, run_end end, time_point now);

    /// @brief Applies a break at this gateway or at a peer.
    /// @return whether it adds to the crashes of its request
    bool onBreak(const broken_run &broken, time_point now);
    /// @brief Applies a proper end at a peer.
    void onPeerSuccess(const sound_request &sound, time_point now);
    /// @brief Applies a state that a peer reported or that was read from the store.
    void adopt(const quarantined_request &state, time_point now);

    /// @brief Evaluates the evidence; call several times a second.
    /// @param serving the gateways that serve requests
    /// @param groupSizes upstreams of each group
    void tick(const request_crashes::living_predicate &livesOn, std::vector<vm_id> serving,
              std::map<group_id, std::size_t> groupSizes, time_point now);

    /// @return successes of suspected requests within the last recentSuccess
    [[nodiscard]] std::vector<sound_request> soundSuspects(time_point now) const;
    /// @return all states, also released ones; those that were used last come first
    [[nodiscard]] std::vector<quarantined_request> states() const;
    [[nodiscard]] const request_crashes &crashes() const { return m_crashes; }
    /// @return the requests with minSuspicion crashes or more that are not in quarantine
    [[nodiscard]] std::vector<request_fingerprint> suspected() const;
    /// @return the number of requests in quarantine
    [[nodiscard]] std::size_t size() const;
    /// @return whether a request in quarantine explains the break of another one
    [[nodiscard]] bool isFaultOfAnother(const broken_run &broken) const;
    [[nodiscard]] std::vector<request_quarantine_change> takeChanges();

private:
    struct entry
    {
        quarantined_request state;
        std::optional<time_point> trialSince; // while a trial of this gateway runs
        bool decidedHere = false;
    };

    [[nodiscard]] const entry *findQuarantined(const request_fingerprint &request) const;
    [[nodiscard]] bool maySendTrial(const entry &known, time_point now) const;
    [[nodiscard]] bool isRunning(const request_fingerprint &request) const;
    [[nodiscard]] bool manyAreDown(const group_id &group, time_point now) const;
    [[nodiscard]] duration lengthUntilTrial(unsigned trials) const;
    void beginTrial(entry &known, time_point now);
    void quarantineCrashing(time_point now);
    void releaseInnocent(time_point now);
    void release(entry &known, request_quarantine_reason reason, time_point now);
    void onSuccess(const request_fingerprint &request, time_point at, time_point now);
    void forgetUnused(time_point now);
    void makeRoom();
    void noteChange(const quarantined_request &state, request_quarantine_reason reason);

    const vm_id m_self;
    const request_quarantine_options m_options;
    request_crashes m_crashes;
    std::unordered_map<request_fingerprint, entry> m_entries; // at most maxQuarantined
    std::unordered_map<request_fingerprint, unsigned> m_running; // runs at this gateway
    std::set<request_fingerprint> m_candidates; // with maxCrashes and a decision to come
    // Last proper ends here of requests that broke somewhere, for peers.
    std::unordered_map<request_fingerprint, time_point> m_soundSuspects;
    std::vector<request_quarantine_change> m_changes;
    std::vector<vm_id> m_serving;
    std::map<group_id, std::size_t> m_groupSizes;
    time_point m_forgottenAt{}; // last call of forgetUnused
    time_point m_decidedAt{}; // start of the last quarantine that this gateway decided on
};

} // namespace tamarack
