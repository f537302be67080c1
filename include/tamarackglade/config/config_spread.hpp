// Brings the configuration to one process: from the log, or from its peers.
#pragma once

#include <tamarackglade/config/config_action.hpp>
#include <tamarackglade/config/config_fold.hpp>
#include <tamarackglade/config/config_history.hpp>
#include <tamarackglade/config/config_readiness.hpp>
#include <tamarackglade/config/config_retention.hpp>
#include <tamarackglade/config/config_spread_options.hpp>
#include <tamarackglade/config/log_entry.hpp>
#include <tamarackglade/config/start_answers.hpp>

#include <optional>
#include <random>
#include <span>
#include <vector>

namespace tamarack {

/// @brief The configuration of one process. The process tails the log and passes on what it reads;
/// this tells random peers of its offset, fetches what peers are ahead by, and decides whether
/// the process may serve. Its offset never goes back.
///
/// A process serves once it has read the log to its end, or holds the highest offset that enough
/// peers answered. After a pause it asks again before it serves on. If the log is down and no peer
/// serves, but some held a configuration before all paused, the highest of theirs counts.
class config_spread
{
public:
    /// @param random seeds the choice of peers
    config_spread(vm_id self, config_spread_options options, std::mt19937_64 random);

    /// @brief Starts; to be called once, before any other event.
    void start(time_point now);

    /// @brief Sets the processes to gossip with; self is ignored.
    void onPeers(const std::vector<vm_id> &peers);

    /// @brief Takes an answer of the log, also an empty one; expected each second at least.
    /// @param requestedAt when the read was sent
    /// @param end the last offset of the stream when the log answered; 0 if it is empty
    config_actions onLogRecords(time_point now, time_point requestedAt,
                                std::span<const log_entry> entries, log_offset end);

    /// @brief Takes a failed read of the log.
    config_actions onLogDown(time_point now);

    config_actions onOffer(time_point now, const vm_id &peer,
                           const schema::config_offer_message &offer);
    config_actions onFetch(time_point now, const vm_id &peer,
                           const schema::config_fetch_message &fetch);
    config_actions onSnapshot(time_point now, const vm_id &peer,
                              const schema::config_snapshot_message &snapshot);

    /// @brief Does what is due.
    /// @param wallSeconds wall time, which only schedules snapshots in the log
    config_actions tick(time_point now, std::uint64_t wallSeconds);

    /// @return when tick has something to do next
    [[nodiscard]] time_point nextDeadline() const;

    [[nodiscard]] bool serving() const { return m_confirmed && hasManifest(); }
    [[nodiscard]] config_readiness readiness(time_point now) const;
    [[nodiscard]] const config_fold &fold() const { return m_fold; }
    [[nodiscard]] std::shared_ptr<const config_state> state() const { return m_fold.state(); }

    /// @return the next offset to read from the log
    [[nodiscard]] log_offset nextLogOffset() const { return m_fold.nextOffset(); }

    /// @return offers of our own offset with another digest; anything but 0 is a fault
    [[nodiscard]] std::uint64_t divergences() const { return m_divergences; }

private:
    struct wanted_offset
    {
        vm_id peer;
        log_offset offset;
        time_point notBefore;
    };

    [[nodiscard]] bool hasManifest() const { return m_fold.manifestOffset() != log_offset(0); }
    [[nodiscard]] bool logAnswers(time_point now) const;
    [[nodiscard]] std::vector<vm_id> nextPeers(std::size_t count);
    [[nodiscard]] schema::config_offer_message ownOffer() const;
    void begin(time_point now);
    void noteTime(time_point now);
    void applyAppend(log_offset offset, std::string_view payload);
    void offerTo(const vm_id &peer, bool wantsAnswer, std::uint64_t sequence);
    void gossip(time_point now);
    void ask(time_point now);
    void want(time_point now, const vm_id &peer, log_offset offset);
    void fetchWanted(time_point now);
    void confirm(time_point now);
    [[nodiscard]] bool peersConfirm(time_point now) const;
    [[nodiscard]] bool idlePeersConfirm(time_point now) const;
    void appendSnapshot(time_point now, std::uint64_t wallSeconds);
    config_actions finish(time_point now);

    vm_id m_self;
    config_spread_options m_options;
    std::mt19937_64 m_random;
    std::vector<vm_id> m_peers;
    std::size_t m_nextPeer = 0; // index in m_peers; at the end they are shuffled
    config_fold m_fold;
    config_history m_history;
    config_retention m_retention;
    // Whether the folded state was up to date when it was last confirmed, without a pause since.
    bool m_confirmed = false;
    bool m_wasConfirmed = false; // whether it ever was
    start_answers m_answers;
    std::optional<log_offset> m_logEnd; // of the latest fresh answer
    bool m_logExhausted = false; // whether that answer held the last record, or none
    time_point m_startedAt;
    time_point m_lastEvent;
    std::optional<time_point> m_lastLogAnswer; // none while the log is down
    time_point m_nextGossip;
    time_point m_nextAsk;
    std::optional<wanted_offset> m_wanted;
    std::optional<time_point> m_fetchDeadline; // set while a fetch is under way
    std::uint64_t m_divergences = 0;
    config_actions m_actions; // of the event at hand
    log_offset m_toldOffset; // last told by config_changed
    bool m_toldServing = false;
};

} // namespace tamarack
