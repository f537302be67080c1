// Spread of the configuration by log and gossip.
#include <tamarackglade/config/config_snapshot_codec.hpp>
#include <tamarackglade/config/config_spread.hpp>

#include <algorithm>

namespace tamarack {

namespace {

std::string_view bytesOf(const std::vector<std::uint8_t> &bytes)
{
    return {reinterpret_cast<const char *>(bytes.data()), bytes.size()};
}

std::vector<std::uint8_t> toBytes(std::string_view text)
{
    return {text.begin(), text.end()};
}

// A question carries when it was sent, so that its answer's age is known. 0 is no question.
std::uint64_t sequenceOf(time_point now)
{
    return static_cast<std::uint64_t>(now.time_since_epoch().count()) + 1;
}

time_point timePointOf(std::uint64_t sequence)
{
    return time_point(duration(static_cast<duration::rep>(sequence - 1)));
}

} // namespace

config_spread::config_spread(vm_id self, config_spread_options options, std::mt19937_64 random)
    : m_self(std::move(self)), m_options(options), m_random(random), m_fold(options.mutation),
      m_history(options.historyBytes), m_answers(options.answerLifetime)
{
}

void config_spread::start(time_point now)
{
    m_lastEvent = now;
    m_nextGossip = now + m_options.gossipPeriod;
    begin(now);
}

void config_spread::onPeers(const std::vector<vm_id> &peers)
{
    m_peers = peers;
    std::erase(m_peers, m_self);
    m_nextPeer = m_peers.size();
}

config_actions config_spread::onLogRecords(time_point now, time_point requestedAt,
                                           std::span<const log_entry> entries, log_offset end)
{
    noteTime(now);
    m_lastLogAnswer = now;
    for (const log_entry &entry : entries)
        applyAppend(entry.offset, entry.payload);
    if (now - requestedAt <= m_options.logSilence)
        m_logEnd = end;
    m_logExhausted = entries.empty() || entries.back().offset >= end;
    return finish(now);
}

config_actions config_spread::onLogDown(time_point now)
{
    noteTime(now);
    m_lastLogAnswer.reset();
    m_logEnd.reset();
    return finish(now);
}

config_actions config_spread::onOffer(time_point now, const vm_id &peer,
                                      const schema::config_offer_message &offer)
{
    noteTime(now);
    const log_offset offset(offer.offset);
    const bool behind = offset < m_fold.offset() && m_wasConfirmed;
    if (offer.wants_answer)
        offerTo(peer, false, offer.sequence);
    else if (behind && offer.sequence == 0)
        offerTo(peer, false, 0);
    const bool isAnswer = !offer.wants_answer && offer.sequence != 0;
    if (!m_confirmed && isAnswer)
        m_answers.add(peer, timePointOf(offer.sequence), offset, offer.serving);
    if (offset > m_fold.offset())
        want(now, peer, offset);
    else if (offset == m_fold.offset() && offset != log_offset(0)
             && offer.digest != state()->digest)
        ++m_divergences;
    return finish(now);
}

config_actions config_spread::onFetch(time_point now, const vm_id &peer,
                                      const schema::config_fetch_message &fetch)
{
    noteTime(now);
    const log_offset from(fetch.from_offset);
    if (!m_wasConfirmed || from >= m_fold.offset())
        return finish(now);
    auto answer = std::make_shared<schema::config_snapshot_message>();
    answer->offset = m_fold.offset().value();
    answer->manifest_offset = m_fold.manifestOffset().value();
    for (log_entry &entry : m_history.after(from)) {
        auto batch = std::make_unique<schema::config_batch_message>();
        batch->offset = entry.offset.value();
        batch->payload = toBytes(entry.payload);
        answer->batches.push_back(std::move(batch));
    }
    const std::string whole = answer->batches.empty() || m_history.bytesAfter(from) > 4096
                                  ? encodeSnapshot(*state(), m_fold.lastSnapshotSeconds())
                                  : std::string();
    if (answer->batches.empty() || (!whole.empty() && whole.size() < m_history.bytesAfter(from))) {
        answer->batches.clear();
        answer->records = toBytes(whole);
    } else {
        answer->from_offset = from.value();
    }
    m_actions.push_back(send_config_snapshot{peer, std::move(answer)});
    return finish(now);
}

config_actions config_spread::onSnapshot(time_point now, const vm_id & /*peer*/,
                                         const schema::config_snapshot_message &snapshot)
{
    noteTime(now);
    m_fetchDeadline.reset();
    if (snapshot.batches.empty()) {
        if (m_fold.adopt(bytesOf(snapshot.records)))
            m_history.clear();
    } else if (log_offset(snapshot.from_offset) <= m_fold.offset()) {
        for (const auto &batch : snapshot.batches)
            applyAppend(log_offset(batch->offset), bytesOf(batch->payload));
    }
    return finish(now);
}

config_actions config_spread::tick(time_point now, std::uint64_t wallSeconds)
{
    noteTime(now);
    if (now >= m_nextGossip)
        gossip(now);
    if (!m_confirmed && now >= m_nextAsk)
        ask(now);
    appendSnapshot(now, wallSeconds);
    return finish(now);
}

time_point config_spread::nextDeadline() const
{
    time_point deadline = m_nextGossip;
    if (!m_confirmed)
        deadline = std::min(deadline, m_nextAsk);
    if (m_wanted)
        deadline = std::min(
            deadline, std::max(m_wanted->notBefore, m_fetchDeadline.value_or(m_wanted->notBefore)));
    return deadline;
}

config_readiness config_spread::readiness(time_point now) const
{
    if (serving())
        return config_readiness::Serving;
    if (m_confirmed)
        return config_readiness::NoManifest;
    const bool lost = m_logEnd && m_logExhausted && m_fold.offset() < *m_logEnd;
    if (lost && m_answers.serving(now) == 0)
        return config_readiness::RecordsLost;
    const bool asked = now - m_startedAt >= m_options.startPatience;
    if (asked && !logAnswers(now) && m_answers.all(now) > 0 && m_answers.serving(now) == 0)
        return config_readiness::NoPeerServes;
    return config_readiness::Asking;
}

bool config_spread::logAnswers(time_point now) const
{
    return m_lastLogAnswer && now - *m_lastLogAnswer <= m_options.logSilence;
}

// Goes through all peers in random order before one comes again, so that no peer waits for long.
std::vector<vm_id> config_spread::nextPeers(std::size_t count)
{
    std::vector<vm_id> chosen;
    for (count = std::min(count, m_peers.size()); chosen.size() < count; ++m_nextPeer) {
        if (m_nextPeer >= m_peers.size()) {
            std::shuffle(m_peers.begin(), m_peers.end(), m_random);
            m_nextPeer = 0;
        }
        chosen.push_back(m_peers[m_nextPeer]);
    }
    return chosen;
}

schema::config_offer_message config_spread::ownOffer() const
{
    schema::config_offer_message offer;
    if (!m_wasConfirmed)
        return offer;
    offer.serving = m_confirmed;
    offer.offset = m_fold.offset().value();
    offer.digest = state()->digest;
    return offer;
}

void config_spread::begin(time_point now)
{
    m_confirmed = false;
    m_startedAt = now;
    m_nextAsk = now;
    m_answers.clear();
    m_logEnd.reset();
    m_lastLogAnswer.reset();
    m_fetchDeadline.reset();
    m_wanted.reset();
}

// After a pause the folded state may be old: it is confirmed again before it serves.
void config_spread::noteTime(time_point now)
{
    const bool paused = now - m_lastEvent > m_options.pauseLimit;
    m_lastEvent = now;
    if (paused)
        begin(now);
}

void config_spread::applyAppend(log_offset offset, std::string_view payload)
{
    const log_offset before = m_fold.offset();
    m_fold.apply(offset, payload);
    const bool isNext = offset.value() == before.value() + 1;
    if (isNext && m_fold.offset() == offset)
        m_history.add(offset, payload);
    else if (m_fold.offset() != before)
        m_history.clear();
}

void config_spread::offerTo(const vm_id &peer, bool wantsAnswer, std::uint64_t sequence)
{
    schema::config_offer_message offer = ownOffer();
    offer.wants_answer = wantsAnswer;
    offer.sequence = sequence;
    m_actions.push_back(send_config_offer{peer, offer});
}

void config_spread::gossip(time_point now)
{
    m_nextGossip = now + m_options.gossipPeriod;
    if (!m_confirmed || m_options.mutation == config_mutation::GossipOff)
        return;
    for (const vm_id &peer : nextPeers(m_options.gossipFanout))
        offerTo(peer, false, 0);
}

void config_spread::ask(time_point now)
{
    m_nextAsk = now + m_options.askPeriod;
    for (const vm_id &peer : nextPeers(m_options.askFanout))
        offerTo(peer, true, sequenceOf(now));
}

// Notes the newest offer; a log that answers is given time to bring the same for nothing.
void config_spread::want(time_point now, const vm_id &peer, log_offset offset)
{
    if (m_wanted && m_wanted->offset >= offset && m_fetchDeadline)
        return;
    const bool wait = m_confirmed && logAnswers(now);
    time_point notBefore = now + (wait ? m_options.fetchDelay : duration::zero());
    if (m_wanted)
        notBefore = std::min(notBefore, m_wanted->notBefore);
    m_wanted = wanted_offset{peer, offset, notBefore};
}

void config_spread::fetchWanted(time_point now)
{
    if (m_fetchDeadline && now >= *m_fetchDeadline) {
        m_fetchDeadline.reset();
        m_wanted.reset(); // the next offer names another peer
    }
    if (m_wanted && m_wanted->offset <= m_fold.offset())
        m_wanted.reset();
    if (!m_wanted || m_fetchDeadline || now < m_wanted->notBefore)
        return;
    m_fetchDeadline = now + m_options.fetchTimeout;
    schema::config_fetch_message fetch;
    fetch.from_offset = m_fold.offset().value();
    m_actions.push_back(send_config_fetch{m_wanted->peer, fetch});
}

void config_spread::confirm(time_point now)
{
    if (m_confirmed)
        return;
    const bool logRead = m_logEnd && m_fold.offset() >= *m_logEnd && !m_fold.hasGap();
    if (!logRead && !peersConfirm(now))
        return;
    m_confirmed = true;
    m_wasConfirmed = true;
}

bool config_spread::peersConfirm(time_point now) const
{
    if (m_fold.offset() == log_offset(0))
        return false;
    if (m_options.mutation == config_mutation::TrustAnyAnswer)
        return true;
    if (m_fold.offset() < m_answers.highest(now))
        return false;
    const std::size_t serving = m_answers.serving(now);
    const bool patient = now - m_startedAt >= m_options.startPatience;
    if (serving == 0)
        return patient && idlePeersConfirm(now);
    const bool enough = serving >= std::min(m_options.enoughAnswers, m_peers.size());
    const bool allAnswered = m_answers.all(now) >= m_peers.size();
    return enough || allAnswered || patient;
}

// Nobody serves, as when all were paused: what the answering peers or this one held counts.
bool config_spread::idlePeersConfirm(time_point now) const
{
    const std::size_t majority = m_peers.size() / 2 + 1;
    const bool held = m_wasConfirmed || m_answers.highest(now) != log_offset(0);
    return held && m_answers.all(now) >= std::min(majority, m_options.enoughIdleAnswers);
}

void config_spread::appendSnapshot(time_point now, std::uint64_t wallSeconds)
{
    if (!m_confirmed || !logAnswers(now) || m_fold.hasGap())
        return;
    if (m_retention.shouldAppend(now, wallSeconds, m_fold, m_random))
        m_actions.push_back(append_config_snapshot{encodeSnapshot(*state(), wallSeconds)});
}

// Ends each event: confirms, tells of changes, fetches.
config_actions config_spread::finish(time_point now)
{
    confirm(now);
    const bool changed = m_fold.offset() != m_toldOffset;
    if (changed || serving() != m_toldServing) {
        m_toldOffset = m_fold.offset();
        m_toldServing = serving();
        m_actions.push_back(config_changed{state(), m_toldServing});
    }
    if (changed && m_confirmed && m_options.mutation != config_mutation::GossipOff) {
        for (const vm_id &peer : nextPeers(m_options.changeFanout))
            offerTo(peer, false, 0);
    }
    fetchWanted(now);
    return std::exchange(m_actions, {});
}

} // namespace tamarack
