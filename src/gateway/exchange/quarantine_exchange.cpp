// Encodes times as ages, since the clocks of gateways differ.
#include <tamarackglade/gateway/exchange/message_age.hpp>
#include <tamarackglade/gateway/exchange/quarantine_exchange.hpp>
#include <tamarackglade/logging/log_event.hpp>
#include <tamarackglade/runtime/steady_now.hpp>

#include <algorithm>

namespace tamarack {

namespace {

// A break is repeated in every report for this time, as reports may be lost.
constexpr std::chrono::milliseconds BreakRepeatWindow{1'200};
constexpr std::size_t MaxBreaksPerReport = 32;
constexpr std::size_t MaxSoundPartsPerReport = 64;
constexpr std::size_t MaxServedRunsPerReport = 64;
constexpr std::size_t MaxStatesPerReport = 16;
constexpr std::chrono::milliseconds PeerSuccessLifetime{2'000};
constexpr std::uint64_t MicrosPerMilli = 1'000;
const char *nameOf(quarantine_reason reason)
{
    switch (reason) {
    case quarantine_reason::Crashes:
        return "upstreams crashed";
    case quarantine_reason::FailedTrial:
        return "a trial request got no event";
    case quarantine_reason::Success:
        return "a run delivered its first event";
    case quarantine_reason::OtherPart:
        return "another part explains the crashes";
    case quarantine_reason::NoCrashes:
        return "the upstreams that broke its runs off go on serving";
    case quarantine_reason::Reported:
        return "reported by a gateway or the store";
    }
    return "";
}

std::unique_ptr<schema::quarantined_part_message> encodeState(const quarantined_part &state,
                                                              time_point now)
{
    auto message = std::make_unique<schema::quarantined_part_message>();
    message->group = state.group.value();
    message->part = state.part.value();
    message->offences = state.offences;
    message->age_ms = millisBetween(state.since, now);
    message->length_ms = millisBetween(state.since, state.trialAt());
    message->released = state.released;
    return message;
}

quarantined_part decodeState(const schema::quarantined_part_message &message, duration extraAge,
                             time_point now)
{
    quarantined_part state;
    state.group = group_id(message.group);
    state.part = prompt_part_id(message.part);
    state.offences = message.offences;
    state.since = now - durationOf(message.age_ms) - extraAge;
    state.length = durationOf(message.length_ms);
    state.released = message.released;
    return state;
}

std::unique_ptr<schema::early_break_message> encodeBreak(const broken_run &broken, time_point now)
{
    auto message = std::make_unique<schema::early_break_message>();
    message->number = broken.number;
    message->group = broken.group.value();
    for (const prompt_part_id &part : broken.parts)
        message->parts.push_back(part.value());
    message->request = broken.request.content;
    message->customer = broken.request.customer;
    message->batch_item = broken.ofBatchItem;
    message->instance = broken.instance.value();
    message->sent_age_ms = static_cast<std::uint32_t>(millisBetween(broken.sentAt, now));
    message->broke_age_ms = static_cast<std::uint32_t>(millisBetween(broken.brokeAt, now));
    return message;
}

broken_run decodeBreak(const schema::early_break_message &message,
                       const schema::peer_report_message &report, time_point now)
{
    broken_run broken;
    broken.reporter = vm_id(report.vm);
    broken.incarnation = incarnation_number(report.incarnation);
    broken.number = message.number;
    broken.group = group_id(message.group);
    for (const std::string &part : message.parts)
        broken.parts.emplace_back(part);
    broken.request = {message.customer, message.request};
    broken.ofBatchItem = message.batch_item;
    broken.instance = instance_hash(message.instance);
    broken.sentAt = now - durationOf(message.sent_age_ms);
    broken.brokeAt = now - durationOf(message.broke_age_ms);
    return broken;
}

} // namespace

void quarantine_exchange::addTo(schema::peer_report_message &report, time_point now)
{
    const auto breaks = m_quarantine.ownBreaks(now - BreakRepeatWindow);
    const std::size_t skipped =
        breaks.size() > MaxBreaksPerReport ? breaks.size() - MaxBreaksPerReport : 0;
    for (std::size_t i = skipped; i < breaks.size(); ++i)
        report.breaks.push_back(encodeBreak(breaks[i], now));
    for (const sound_part &sound : m_quarantine.soundSuspects(now)) {
        if (report.sound_parts.size() == MaxSoundPartsPerReport)
            break;
        report.sound_parts.emplace_back(sound.part.value(),
                                        static_cast<std::uint32_t>(millisBetween(sound.at, now)));
    }
    for (const served_run &run : m_quarantine.servedSinceBreak(now)) {
        if (report.served_runs.size() == MaxServedRunsPerReport)
            break;
        report.served_runs.emplace_back(run.instance.value(),
                                        static_cast<std::uint32_t>(millisBetween(run.sentAt, now)));
    }
    const auto states = m_quarantine.states();
    const std::size_t sent = std::min(states.size(), MaxStatesPerReport);
    for (std::size_t i = 0; i < sent; ++i)
        report.quarantine.push_back(encodeState(states[(m_nextState + i) % states.size()], now));
    m_nextState = states.empty() ? 0 : (m_nextState + sent) % states.size();
    report.successes = static_cast<std::uint32_t>(m_quarantine.recentSuccesses(now));
    m_requests.addTo(report, now);
    m_reportedAt = now;
    m_hasNews = false;
}

void quarantine_exchange::apply(const schema::peer_report_message &report, time_point now)
{
    for (const auto &message : report.breaks) {
        const broken_run broken = decodeBreak(*message, report, now);
        m_quarantine.onPeerBreak(broken, now);
        m_requests.onPeerBreak(broken, now);
    }
    m_requests.apply(report, now);
    for (const schema::sound_part &sound : report.sound_parts)
        m_quarantine.onPeerSuccess({part_hash(sound.part()), now - durationOf(sound.age_ms())});
    for (const schema::served_run &run : report.served_runs)
        m_quarantine.onServed({instance_hash(run.instance()), now - durationOf(run.sent_age_ms())});
    for (const auto &state : report.quarantine)
        m_quarantine.adopt(decodeState(*state, duration::zero(), now), now);
    onPeerSuccesses(vm_id(report.vm), report.successes, now);
}

void quarantine_exchange::onPeerSuccesses(const vm_id &peer, std::uint32_t successes,
                                          time_point now)
{
    m_peers[peer] = {static_cast<double>(successes), now};
}

void quarantine_exchange::addTo(schema::member_record_message &record, time_point now) const
{
    for (const quarantined_part &state : m_quarantine.states())
        record.quarantine.push_back(encodeState(state, now));
    m_requests.addTo(record, now);
    record.written_unix_ms = wallMicros() / MicrosPerMilli;
}

void quarantine_exchange::apply(const schema::member_record_message &record, time_point now)
{
    const std::uint64_t wallNow = wallMicros() / MicrosPerMilli;
    const std::uint64_t written = record.written_unix_ms;
    const duration recordAge = durationOf(wallNow > written ? wallNow - written : 0);
    for (const auto &state : record.quarantine)
        m_quarantine.adopt(decodeState(*state, recordAge, now), now);
    m_requests.apply(record, recordAge, now);
}

void quarantine_exchange::tick(const upstream_directory &directory, std::vector<vm_id> serving,
                               time_point now)
{
    std::map<group_id, std::size_t> groupSizes;
    if (m_quarantine.hasBreaks()) {
        crash_evidence::instance_set listed;
        for (const auto &[id, upstream] : directory.upstreams()) {
            listed.insert(hashOf(id, upstream.incarnation));
            ++groupSizes[upstream.group];
        }
        m_quarantine.setListed(std::move(listed));
    }
    const auto livesOn = [this](instance_hash instance, time_point since) {
        return m_quarantine.livesOn(instance, since);
    };
    m_requests.tick(livesOn, serving, std::move(groupSizes), now);
    m_quarantine.tick(peerSuccesses(now), std::move(serving), now);
    for (const quarantine_change &change : m_quarantine.takeChanges()) {
        m_hasNews = true;
        log(change, now);
    }
    m_metrics.set("tamarack_quarantined_parts", static_cast<double>(m_quarantine.size()));
}

double quarantine_exchange::peerSuccesses(time_point now)
{
    std::erase_if(m_peers, [&](const auto &each) {
        return now - each.second.receivedAt > PeerSuccessLifetime;
    });
    double sum = 0;
    for (const auto &[peer, successes] : m_peers)
        sum += successes.count;
    return sum;
}

double quarantine_exchange::loadShare(time_point now)
{
    // One more run for each gateway, so that an idle one keeps a share.
    const double own = m_quarantine.recentSuccesses(now) + 1;
    const double others = peerSuccesses(now) + static_cast<double>(m_peers.size());
    return own / (own + others);
}

void quarantine_exchange::log(const quarantine_change &change, time_point now)
{
    const quarantined_part &state = change.state;
    log_event(log_level::Warning,
              state.released ? "prompt part released" : "prompt part quarantined")
        .with("prompt_part", state.part.value())
        .with("group", state.group.value())
        .with("offences", state.offences)
        .with("reason", nameOf(change.reason))
        .with("crashes", change.evidence.crashes)
        .with("requests", change.evidence.requests)
        .with("age_ms", toSeconds(now - state.since) * 1000)
        .with("trial_in_ms", toSeconds(state.trialAt() - now) * 1000);
}

} // namespace tamarack
