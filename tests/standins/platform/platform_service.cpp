// Routes of the platform's protocol.
#include "platform_service.hpp"

#include "../../support/standins_json.hpp"
#include <tamarackglade/core/hash.hpp>
#include <tamarackglade/runtime/steady_now.hpp>

#include <boost/endian/conversion.hpp>

#include <algorithm>
#include <mutex>

namespace tamarack::standins {

namespace {

constexpr std::string_view StreamPrefix = "/v1/streams/";
constexpr std::string_view StreamSuffix = "/records";
constexpr std::string_view VmPrefix = "/v1/vms/";
constexpr std::string_view WeightPrefix = "/v1/weights/";
constexpr std::size_t MaxRecordBytes = 8 * 1024 * 1024;
constexpr std::size_t MaxAnswerBytes = 4 * 1024 * 1024; // at least one record is sent
constexpr std::uint64_t MaxWaitMs = 60'000;
constexpr std::uint64_t DefaultReadLimit = 1000; // records
constexpr std::size_t WeightChunkBytes = 64 * 1024;

void appendFrame(std::string &out, std::uint64_t offset, const std::string &record)
{
    char head[12];
    boost::endian::store_little_u64(reinterpret_cast<unsigned char *>(head), offset);
    boost::endian::store_little_u32(reinterpret_cast<unsigned char *>(head + 8),
                                    static_cast<std::uint32_t>(record.size()));
    out.append(head, sizeof head);
    out += record;
}

void addOffsets(http_response &response, const log_stream &stream)
{
    response.headers.emplace_back("X-First-Offset", std::to_string(stream.firstOffset));
    response.headers.emplace_back("X-Next-Offset", std::to_string(stream.nextOffset));
}

void respondTooMany(http_exchange &exchange, const std::string &message)
{
    http_response response;
    response.status = 429;
    response.headers.emplace_back("Retry-After", "1");
    response.body =
        nlohmann::json{{"error", {{"code", "rate_limited"}, {"message", message}}}}.dump();
    exchange.respond(response);
}

const char *logStateName(log_state state)
{
    switch (state) {
    case log_state::Down:
        return "down";
    case log_state::Slow:
        return "slow";
    case log_state::Up:
        break;
    }
    return "up";
}

log_state parseLogState(const std::string &name)
{
    if (name == "down")
        return log_state::Down;
    return name == "slow" ? log_state::Slow : log_state::Up;
}

duration milliseconds(const nlohmann::json &value)
{
    return std::chrono::milliseconds(value.get<std::int64_t>());
}

} // namespace

platform_service::platform_service(const platform_options &options)
    : m_options(options), m_limiter(options.appendRate, options.appendBurst)
{
    m_log.setRetention(options.retentionRecords);
    m_vms.setLag(options.vmLag);
}

void platform_service::handle(http_exchange &exchange)
{
    const std::string path = exchange.request().path;
    const std::string &method = exchange.request().method;
    if (path == "/fault")
        return method == "POST" ? setFaults(exchange) : showFaults(exchange);
    if (path == "/stats")
        return showStats(exchange);
    m_freeze.pass();
    if (path == "/health")
        return respondJson(exchange, 200, {{"status", "ok"}});
    if (path.starts_with(StreamPrefix) && path.ends_with(StreamSuffix)
        && path.size() > StreamPrefix.size() + StreamSuffix.size())
        return handleRecords(exchange,
                             path.substr(StreamPrefix.size(),
                                         path.size() - StreamPrefix.size() - StreamSuffix.size()));
    if (path == "/v1/vms" && method == "GET")
        return listVms(exchange);
    if (path.starts_with(VmPrefix) && path.size() > VmPrefix.size())
        return changeVm(exchange, path.substr(VmPrefix.size()));
    if (path.starts_with(WeightPrefix) && method == "GET")
        return sendWeights(exchange, path.substr(WeightPrefix.size()));
    respondError(exchange, 404, "not_found", "no such route");
}

void platform_service::handleRecords(http_exchange &exchange, const std::string &stream)
{
    if (exchange.request().method == "POST")
        return append(exchange, stream);
    if (exchange.request().method == "GET")
        return read(exchange, stream);
    respondError(exchange, 405, "method_not_allowed", "use POST or GET");
}

void platform_service::append(http_exchange &exchange, const std::string &stream)
{
    if (exchange.request().body.size() > MaxRecordBytes)
        return respondError(exchange, 413, "record_too_large", "a record may have 8 MiB");
    if (!passLogFaults(exchange))
        return;
    if (!m_limiter.admit(steadyNow())) {
        ++m_refusedAppends;
        return respondTooMany(exchange, "too many appends a second");
    }
    const std::uint64_t offset = m_log.append(stream, exchange.request().body);
    m_changed[stream].notify_all();
    if (m_faults.loseNextAnswers > 0) {
        --m_faults.loseNextAnswers;
        m_lostAnswers.push_back({{"stream", stream}, {"offset", offset}});
        return exchange.abortStream();
    }
    respondJson(exchange, 200, {{"offset", offset}});
}

void platform_service::read(http_exchange &exchange, const std::string &stream)
{
    const auto &request = exchange.request();
    const std::uint64_t from =
        std::max<std::uint64_t>(1, numberOr(request.queryParameter("from"), 1));
    const std::uint64_t limit = numberOr(request.queryParameter("limit"), DefaultReadLimit);
    const std::uint64_t waitMs =
        std::min(MaxWaitMs, numberOr(request.queryParameter("wait_ms"), 0));
    if (!passLogFaults(exchange))
        return;
    waitForRecord(stream, from, std::chrono::milliseconds(waitMs));
    m_freeze.pass();
    if (m_faults.log == log_state::Down)
        return respondError(exchange, 503, "log_unavailable", "the log is down");
    respondRecords(exchange, m_log.stream(stream), from, limit);
}

void platform_service::waitForRecord(const std::string &stream, std::uint64_t from, duration time)
{
    const log_stream &target = m_log.stream(stream);
    const auto deadline = std::chrono::steady_clock::now() + time;
    std::unique_lock lock(m_mutex);
    m_changed[stream].wait_until(lock, deadline, [&] {
        return target.nextOffset > from || from < target.firstOffset
               || m_faults.log == log_state::Down;
    });
}

void platform_service::respondRecords(http_exchange &exchange, log_stream &stream,
                                      std::uint64_t from, std::uint64_t limit)
{
    http_response response;
    response.contentType = "application/octet-stream";
    addOffsets(response, stream);
    if (from < stream.firstOffset)
        response.status = 410;
    for (std::uint64_t offset = from;
         response.status == 200 && offset < stream.nextOffset && offset - from < limit
         && response.body.size() < MaxAnswerBytes;
         ++offset)
        appendFrame(response.body, offset, stream.at(offset));
    ++stream.reads;
    stream.bytesRead += response.body.size();
    exchange.respond(response);
}

bool platform_service::passLogFaults(http_exchange &exchange)
{
    if (m_faults.log == log_state::Slow)
        boost::this_fiber::sleep_for(m_faults.slowness);
    if (m_faults.log != log_state::Down)
        return true;
    respondError(exchange, 503, "log_unavailable", "the log is down");
    return false;
}

void platform_service::listVms(http_exchange &exchange)
{
    respondJson(exchange, 200, m_vms.list(steadyNow()));
}

void platform_service::changeVm(http_exchange &exchange, const std::string &vm)
{
    const std::string &method = exchange.request().method;
    if (method == "PUT") {
        const auto body = objectBody(exchange);
        if (!body)
            return;
        m_vms.put(vm, *body, steadyNow());
    } else if (method == "DELETE") {
        m_vms.remove(vm, steadyNow());
    } else {
        return respondError(exchange, 405, "method_not_allowed", "use PUT or DELETE");
    }
    respondJson(exchange, 200, {{"vm", vm}});
}

void platform_service::sendWeights(http_exchange &exchange, const std::string &name)
{
    if (m_weightReaders >= m_options.weightReaders)
        return respondTooMany(exchange, "too many readers of weights");
    ++m_weightReaders;
    http_response head;
    head.contentType = "application/octet-stream";
    exchange.beginStream(head);
    const std::string pattern = std::to_string(stableHash(name)) + "\n";
    std::string chunk;
    while (chunk.size() < WeightChunkBytes)
        chunk += pattern;
    chunk.resize(WeightChunkBytes);
    const auto start = std::chrono::steady_clock::now();
    std::size_t sent = 0;
    bool connected = true;
    while (connected && sent < m_options.weightBytes) {
        const std::size_t size = std::min(chunk.size(), m_options.weightBytes - sent);
        connected = exchange.writeChunk(std::string_view(chunk).substr(0, size));
        sent += size;
        boost::this_fiber::sleep_until(
            start + fromSeconds(static_cast<double>(sent) / m_options.weightRate));
        m_freeze.pass();
    }
    --m_weightReaders;
    exchange.endStream();
}

void platform_service::setFaults(http_exchange &exchange)
{
    const auto body = objectBody(exchange);
    if (!body)
        return;
    try {
        applyFaults(*body);
    } catch (const nlohmann::json::exception &error) {
        return respondError(exchange, 400, "malformed_fault", error.what());
    }
    for (auto &[stream, changed] : m_changed)
        changed.notify_all();
    showFaults(exchange);
}

void platform_service::applyFaults(const nlohmann::json &body)
{
    if (body.contains("log"))
        m_faults.log = parseLogState(body["log"].get<std::string>());
    if (body.contains("slow_ms"))
        m_faults.slowness = milliseconds(body["slow_ms"]);
    if (body.contains("lose_next_answers"))
        m_faults.loseNextAnswers = body["lose_next_answers"].get<std::uint64_t>();
    if (body.contains("vm_lag_ms"))
        m_vms.setLag(milliseconds(body["vm_lag_ms"]));
    if (body.contains("freeze_ms"))
        m_freeze.freezeFor(std::chrono::milliseconds(body["freeze_ms"].get<std::int64_t>()));
    if (body.contains("retention_records"))
        m_log.setRetention(body["retention_records"].get<std::uint64_t>());
    if (body.contains("drop_before"))
        m_log.dropBefore(body["drop_before"].at("stream").get<std::string>(),
                         body["drop_before"].at("offset").get<std::uint64_t>());
}

void platform_service::showFaults(http_exchange &exchange)
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    respondJson(exchange, 200,
                {{"log", logStateName(m_faults.log)},
                 {"slow_ms", duration_cast<milliseconds>(m_faults.slowness).count()},
                 {"lose_next_answers", m_faults.loseNextAnswers},
                 {"vm_lag_ms", duration_cast<milliseconds>(m_vms.lag()).count()},
                 {"frozen", m_freeze.frozen()},
                 {"retention_records", m_log.retention()}});
}

void platform_service::showStats(http_exchange &exchange)
{
    nlohmann::json streams = nlohmann::json::object();
    for (const auto &[name, stream] : m_log.streams())
        streams[name] = {{"appends", stream.appends},
                         {"reads", stream.reads},
                         {"bytes_appended", stream.bytesAppended},
                         {"bytes_read", stream.bytesRead},
                         {"first_offset", stream.firstOffset},
                         {"next_offset", stream.nextOffset}};
    respondJson(exchange, 200,
                {{"streams", streams},
                 {"refused_appends", m_refusedAppends},
                 {"lost_answers", m_lostAnswers},
                 {"weight_readers", m_weightReaders}});
}

} // namespace tamarack::standins
