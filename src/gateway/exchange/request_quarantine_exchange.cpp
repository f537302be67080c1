// Encodes times as ages, since the clocks of gateways differ.
#include <tamarackglade/gateway/exchange/message_age.hpp>
#include <tamarackglade/gateway/exchange/request_quarantine_exchange.hpp>
#include <tamarackglade/gateway/relay/fingerprint_text.hpp>
#include <tamarackglade/logging/log_event.hpp>

#include <algorithm>
#include <utility>

namespace tamarack {

namespace {

constexpr std::size_t NewestStatesPerReport = 16; // those that were used last
constexpr std::size_t OlderStatesPerReport = 8; // of the others, in turn
constexpr std::size_t MaxSoundRequestsPerReport = 32;
constexpr std::size_t MaxStatesPerRecord = 256;
constexpr std::size_t MaxSuspicionsPerRecord = 64;

const char *nameOf(request_quarantine_reason reason)
{
    switch (reason) {
    case request_quarantine_reason::Crashes:
        return "upstreams crashed";
    case request_quarantine_reason::Trial:
        return "a trial is sent";
    case request_quarantine_reason::Success:
        return "a run ended properly";
    case request_quarantine_reason::OtherRequests:
        return "other requests explain the crashes";
    case request_quarantine_reason::NoCrashes:
        return "the upstreams that broke its runs off go on serving";
    case request_quarantine_reason::Reported:
        return "reported by a gateway or the store";
    }
    return "";
}

std::unique_ptr<schema::quarantined_request_message> encodeState(const quarantined_request &state,
                                                                 time_point now)
{
    auto message = std::make_unique<schema::quarantined_request_message>();
    message->customer = state.request.customer;
    message->request = state.request.content;
    message->revision = state.revision;
    message->trials = state.trials;
    message->age_ms = millisBetween(state.since, now);
    message->used_age_ms = millisBetween(state.usedAt, now);
    message->released = state.released;
    return message;
}

quarantined_request decodeState(const schema::quarantined_request_message &message,
                                duration extraAge, time_point now)
{
    quarantined_request state;
    state.request = {message.customer, message.request};
    state.revision = message.revision;
    state.trials = message.trials;
    state.since = now - durationOf(message.age_ms) - extraAge;
    state.usedAt = now - durationOf(message.used_age_ms) - extraAge;
    state.released = message.released;
    return state;
}

} // namespace

void request_quarantine_exchange::addTo(schema::peer_report_message &report, time_point now)
{
    for (const sound_request &sound : m_quarantine.soundSuspects(now)) {
        if (report.sound_requests.size() == MaxSoundRequestsPerReport)
            break;
        report.sound_requests.emplace_back(
            sound.request.customer, sound.request.content,
            static_cast<std::uint32_t>(millisBetween(sound.at, now)));
    }
    const auto states = m_quarantine.states();
    const std::size_t newest = std::min(states.size(), NewestStatesPerReport);
    for (std::size_t i = 0; i < newest; ++i)
        report.quarantined_requests.push_back(encodeState(states[i], now));
    const std::size_t older = states.size() - newest;
    for (std::size_t i = 0; i < std::min(older, OlderStatesPerReport); ++i)
        report.quarantined_requests.push_back(
            encodeState(states[newest + (m_nextState + i) % older], now));
    m_nextState = older == 0 ? 0 : (m_nextState + OlderStatesPerReport) % older;
    m_hasNews = false;
}

void request_quarantine_exchange::apply(const schema::peer_report_message &report, time_point now)
{
    for (const schema::sound_request &sound : report.sound_requests)
        m_quarantine.onPeerSuccess(
            {{sound.customer(), sound.request()}, now - durationOf(sound.age_ms())}, now);
    for (const auto &state : report.quarantined_requests)
        m_quarantine.adopt(decodeState(*state, duration::zero(), now), now);
}

void request_quarantine_exchange::onPeerBreak(const broken_run &broken, time_point now)
{
    m_quarantine.onBreak(broken, now);
}

void request_quarantine_exchange::addTo(schema::member_record_message &record, time_point now) const
{
    for (const quarantined_request &state : m_quarantine.states()) {
        if (record.quarantined_requests.size() == MaxStatesPerRecord)
            break;
        record.quarantined_requests.push_back(encodeState(state, now));
    }
    for (const request_fingerprint &request : m_quarantine.suspected()) {
        for (const request_crash &crash : m_quarantine.crashes().of(request)) {
            if (record.suspected_requests.size() == MaxSuspicionsPerRecord)
                return;
            record.suspected_requests.emplace_back(
                request.customer, request.content, crash.instance.value(),
                static_cast<std::uint32_t>(millisBetween(crash.brokeAt, now)));
        }
    }
}

void request_quarantine_exchange::apply(const schema::member_record_message &record,
                                        duration recordAge, time_point now)
{
    for (const auto &state : record.quarantined_requests)
        m_quarantine.adopt(decodeState(*state, recordAge, now), now);
    for (const schema::suspected_request &each : record.suspected_requests) {
        broken_run broken;
        broken.request = {each.customer(), each.request()};
        broken.instance = instance_hash(each.instance());
        broken.brokeAt = now - durationOf(each.age_ms()) - recordAge;
        m_quarantine.onBreak(broken, now);
    }
}

void request_quarantine_exchange::tick(const request_crashes::living_predicate &livesOn,
                                       std::vector<vm_id> serving,
                                       std::map<group_id, std::size_t> groupSizes, time_point now)
{
    m_quarantine.tick(livesOn, std::move(serving), std::move(groupSizes), now);
    for (const request_quarantine_change &change : m_quarantine.takeChanges()) {
        m_hasNews = true;
        log(change, now);
    }
    m_metrics.set("tamarack_quarantined_requests", static_cast<double>(m_quarantine.size()));
    m_metrics.set("tamarack_suspected_requests",
                  static_cast<double>(m_quarantine.crashes().size()));
}

void request_quarantine_exchange::log(const request_quarantine_change &change, time_point now) const
{
    const quarantined_request &state = change.state;
    std::string ages;
    for (const request_crash &crash : change.crashes)
        absl::StrAppend(&ages, ages.empty() ? "" : ",", millisBetween(crash.brokeAt, now));
    log_event(log_level::Warning, state.released ? "request released" : "request quarantined")
        .with("fingerprint", textOf(state.request))
        .with("reason", nameOf(change.reason))
        .with("crashes", change.crashes.size())
        .with("crash_ages_ms", ages)
        .with("trials", state.trials)
        .with("age_ms", toSeconds(now - state.since) * 1000);
}

} // namespace tamarack
