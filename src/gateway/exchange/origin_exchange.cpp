// Encodes times as ages, since the clocks of gateways differ.
#include <tamarackglade/core/flat_codec.hpp>
#include <tamarackglade/gateway/exchange/origin_exchange.hpp>
#include <tamarackglade/resumption/origin_keepers.hpp>
#include <tamarackglade/runtime/boot_now.hpp>

#include <algorithm>

namespace tamarack {

namespace {

using schema::origin_message_kind;

constexpr const char *Identifier = "TGOR"; // tells these datagrams from reports
constexpr std::size_t Keepers = 3; // other gateways that keep an origin
// More than Keepers, as the asking gateway may have other members in view.
constexpr std::size_t MaxAsked = 8;
constexpr std::size_t MaxUnshared = 256; // origins that wait for a reachable gateway
constexpr int MaxRounds = 3; // of questions, since datagrams may be lost
constexpr std::chrono::milliseconds RoundTime{50};

schema::origin_message_message makeMessage(origin_message_kind kind, stream_key stream,
                                           const vm_id &sender)
{
    schema::origin_message_message message;
    message.kind = kind;
    message.stream = stream.value();
    message.vm = sender.value();
    return message;
}

void setOrigin(schema::origin_message_message &message, const stream_origin &origin)
{
    const auto age =
        std::chrono::duration_cast<std::chrono::milliseconds>(bootNow() - origin.begunAt);
    message.group = origin.group.value();
    message.version = origin.version.value();
    message.age_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(0, age.count()));
}

stream_origin originOf(const schema::origin_message_message &message)
{
    return {group_id(message.group), software_version(message.version),
            bootNow() - std::chrono::milliseconds(message.age_ms)};
}

std::string encode(const schema::origin_message_message &message)
{
    return encodeFlat<schema::origin_message>(message, default_fields::Omitted, Identifier);
}

} // namespace

void origin_exchange::share(stream_key stream, const stream_origin &origin)
{
    const time_point now = bootNow();
    m_table.put(stream, origin, now);
    m_metrics.set("tamarack_kept_stream_origins", static_cast<double>(m_table.size()));
    auto reachable = m_peers.reachablePeers(now);
    if (!reachable.empty()) {
        sendTo(originKeepers(stream, std::move(reachable), Keepers), stream, origin);
        return;
    }
    // The others may receive it although nothing is received from them.
    sendTo(originKeepers(stream, m_peers.others(), Keepers), stream, origin);
    m_unshared.push_back({stream, origin});
    if (m_unshared.size() > MaxUnshared)
        m_unshared.pop_front();
}

void origin_exchange::tick()
{
    if (m_unshared.empty())
        return;
    const auto reachable = m_peers.reachablePeers(bootNow());
    if (reachable.empty())
        return;
    for (const unshared_origin &each : m_unshared)
        sendTo(originKeepers(each.stream, reachable, Keepers), each.stream, each.origin);
    m_unshared.clear();
}

void origin_exchange::sendTo(const std::vector<gateway_member> &gateways, stream_key stream,
                             const stream_origin &origin)
{
    auto message = makeMessage(origin_message_kind::Keep, stream, m_self);
    setOrigin(message, origin);
    const std::string bytes = encode(message);
    for (const gateway_member &gateway : gateways)
        m_send(gateway, bytes);
}

origin_lookup origin_exchange::find(stream_key stream)
{
    origin_lookup lookup;
    lookup.origin = m_table.find(stream, bootNow());
    if (lookup.origin)
        lookup.source = "this gateway";
    else
        lookup = ask(stream);
    count(lookup);
    return lookup;
}

origin_lookup origin_exchange::ask(stream_key stream)
{
    const auto keepers = originKeepers(stream, m_peers.others(), MaxAsked);
    std::set<vm_id> asked;
    for (const gateway_member &keeper : keepers)
        asked.insert(keeper.vm);
    running_search running{stream, origin_search(std::move(asked)), {}};
    const std::uint64_t number = ++m_lastQuery;
    auto query = makeMessage(origin_message_kind::Query, stream, m_self);
    query.query = number;
    const std::string bytes = encode(query);
    auto finished = running.finished.get_future();
    m_searches.emplace(number, &running);
    for (int round = 0; round < MaxRounds && !running.search.done(); ++round) {
        for (const gateway_member &keeper : keepers) {
            if (running.search.open().contains(keeper.vm))
                m_send(keeper, bytes);
        }
        finished.wait_for(RoundTime);
    }
    m_searches.erase(number);
    return {running.search.origin(), running.search.origin() ? "another gateway" : "nowhere",
            running.search.asked(), running.search.open().size()};
}

bool origin_exchange::onDatagram(std::string_view bytes, std::string &reply)
{
    const auto message = decodeFlat<schema::origin_message>(bytes, Identifier);
    if (!message)
        return false;
    const stream_key stream(message->stream);
    switch (message->kind) {
    case origin_message_kind::Keep:
        m_table.put(stream, originOf(*message), bootNow());
        return true;
    case origin_message_kind::Query: {
        const auto origin = m_table.find(stream, bootNow());
        auto answer = makeMessage(
            origin ? origin_message_kind::Found : origin_message_kind::NotFound, stream, m_self);
        answer.query = message->query;
        if (origin)
            setOrigin(answer, *origin);
        reply = encode(answer);
        return true;
    }
    case origin_message_kind::Found:
    case origin_message_kind::NotFound:
        break;
    }
    onAnswer(*message);
    return true;
}

void origin_exchange::onAnswer(const schema::origin_message_message &message)
{
    const auto found = m_searches.find(message.query);
    if (found == m_searches.end())
        return;
    running_search &running = *found->second;
    if (running.search.done() || running.stream.value() != message.stream)
        return;
    running.search.onAnswer(vm_id(message.vm), message.kind == origin_message_kind::Found
                                                   ? std::optional(originOf(message))
                                                   : std::nullopt);
    if (running.search.done())
        running.finished.set_value();
}

void origin_exchange::count(const origin_lookup &lookup)
{
    m_metrics.add("tamarack_stream_origin_searches_total{found=\"" + std::string(lookup.source)
                  + "\"}");
}

} // namespace tamarack
