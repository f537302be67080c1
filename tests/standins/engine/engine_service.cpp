// Completions by the model's clock, and the engine's other routes.
#include "engine_service.hpp"

#include "../../support/standins_json.hpp"
#include <tamarackglade/http/http_client.hpp>
#include <tamarackglade/load/expected_answer.hpp>
#include <tamarackglade/runtime/steady_now.hpp>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cstdlib>

namespace tamarack::standins {

namespace {

constexpr std::chrono::milliseconds GoneCheckPeriod{20}; // for closed connections
constexpr std::string_view PoisonWord = "POISON"; // a prompt with it always fails
constexpr std::string_view UndoableWord = "UNDOABLE"; // a prompt with it is always refused
constexpr std::string_view OtherPromptSuffix = " other"; // makes a crossed answer's prompt
constexpr int CrashStatus = 70;

} // namespace

const engine_service::route engine_service::Routes[] = {
    {"POST", "/v1/chat/completions", &engine_service::chatCompletion},
    {"POST", "/v1/completions", &engine_service::textCompletion},
    {"GET", "/v1/models", &engine_service::listModels},
    {"GET", "/health", &engine_service::health},
    {"GET", "/load", &engine_service::showLoad},
    {"GET", "/cache-events", &engine_service::showCacheEvents},
    {"POST", "/orders", &engine_service::giveOrder},
    {"GET", "/orders", &engine_service::showOrders},
};

engine_service::engine_service(io_thread &thread, const engine_options &options)
    : m_thread(thread), m_options(options), m_runner(thread, options.profile),
      m_cacheEvents(options.cacheEventLag, options.cacheEventGap), m_orders(options.checkFences),
      m_anyModel(options.models.empty()), m_models(options.models)
{
    m_report.setLag(options.reportLag);
}

void engine_service::handle(http_exchange &exchange)
{
    const http_request &request = exchange.request();
    if (request.path == "/fault")
        return request.method == "POST" ? setFaults(exchange) : showFaults(exchange);
    if (request.path == "/executions")
        return showExecutions(exchange);
    m_freeze.pass();
    for (const route &entry : Routes) {
        if (entry.path == request.path && entry.method == request.method)
            return (this->*entry.handle)(exchange);
    }
    respondError(exchange, 404, "not_found", "no such route");
}

void engine_service::complete(http_exchange &exchange, bool chat)
{
    auto request = parseEngineRequest(exchange.request().body, chat);
    if (!request.ok())
        return respondError(exchange, 400, "invalid_request",
                            std::string(request.status().message()));
    if (!checkRequest(exchange, *request))
        return;
    const std::uint64_t number = m_executions.begin(exchange.request(), *request);
    if (applyFaults(exchange, *request, number))
        return;
    if (m_faults.crossAnswers > 0) {
        --m_faults.crossAnswers;
        request->prompt += OtherPromptSuffix;
    }
    if (request->stream)
        answerStream(exchange, *request, number);
    else
        answerWhole(exchange, *request, number);
    sampleLoad();
}

bool engine_service::checkRequest(http_exchange &exchange, const engine_request &request)
{
    if (!m_anyModel && std::ranges::find(m_models, request.model) == m_models.end()) {
        respondError(exchange, 404, "model_not_found",
                     absl::StrCat("the model '", request.model, "' is not loaded"));
        return false;
    }
    if (promptTokens(request.prompt) + request.maxTokens > m_options.profile.kvTokens) {
        respondError(exchange, 400, "context_length_exceeded", "prompt and answer are too long");
        return false;
    }
    return true;
}

bool engine_service::applyFaults(http_exchange &exchange, const engine_request &request,
                                 std::uint64_t number)
{
    if (!m_faults.crashOn.empty() && request.prompt.find(m_faults.crashOn) != std::string::npos)
        std::_Exit(CrashStatus);
    if (request.prompt.find(UndoableWord) != std::string::npos) {
        m_executions.end(number, execution_state::Failed);
        respondError(exchange, 400, "content_not_processable", "this input can't be processed");
        return true;
    }
    bool fails = request.prompt.find(PoisonWord) != std::string::npos;
    if (!fails && m_faults.failNext > 0) {
        --m_faults.failNext;
        fails = true;
    }
    if (!fails && m_faults.failShare > 0)
        fails = std::bernoulli_distribution(m_faults.failShare)(m_random);
    if (!fails)
        return false;
    m_executions.end(number, execution_state::Failed);
    respondError(exchange, 500, "engine_error", "the engine failed");
    return true;
}

void engine_service::answerWhole(http_exchange &exchange, const engine_request &request,
                                 std::uint64_t number)
{
    const auto progress = submit(request);
    while (!progress->done || m_freeze.frozen()) {
        m_runner.waitForTokens(*progress, request.maxTokens, GoneCheckPeriod);
        m_freeze.pass();
        if (!progress->done && exchange.callerDisconnected()) {
            m_runner.cancel(*progress);
            return m_executions.end(number, execution_state::Cancelled);
        }
    }
    std::string text;
    if (request.resumeFrom == 0) {
        text = expectedAnswer(request.model, request.prompt, request.maxTokens);
    } else {
        for (std::uint32_t i = request.resumeFrom; i < request.maxTokens; ++i)
            text += answerToken(request.model, request.prompt, i);
    }
    m_executions.addTokens(number, request.maxTokens - request.resumeFrom);
    m_executions.end(number, execution_state::Finished);
    http_response response;
    response.body = answer_format(request, number).whole(text);
    exchange.respond(response);
}

void engine_service::answerStream(http_exchange &exchange, const engine_request &request,
                                  std::uint64_t number)
{
    std::uint32_t cutAt = request.maxTokens;
    bool cut = false;
    if (m_faults.cutStreams > 0) {
        --m_faults.cutStreams;
        cut = true;
        cutAt = std::min(cutAt, request.resumeFrom + m_faults.cutStreamAfter);
    }
    const answer_format format(request, number);
    const auto progress = submit(request);
    http_response head;
    head.contentType = "text/event-stream";
    head.headers.emplace_back("Cache-Control", "no-cache");
    exchange.beginStream(head);
    std::uint32_t written = request.resumeFrom;
    while (written < cutAt) {
        m_runner.waitForTokens(*progress, written, GoneCheckPeriod);
        m_freeze.pass();
        const std::uint32_t end = std::min(progress->endOfReady, cutAt);
        const bool gone = end == written ? exchange.callerDisconnected()
                                         : !writeTokens(exchange, format, request, written, end);
        if (gone) {
            m_runner.cancel(*progress);
            return m_executions.end(number, execution_state::Cancelled);
        }
        m_executions.addTokens(number, end - written);
        written = end;
    }
    if (cut) {
        m_runner.cancel(*progress);
        m_executions.end(number, execution_state::Cut);
        return exchange.abortStream();
    }
    const bool whole = exchange.writeChunk(format.streamEnd());
    m_executions.end(number, whole ? execution_state::Finished : execution_state::Cancelled);
    exchange.endStream();
}

bool engine_service::writeTokens(http_exchange &exchange, const answer_format &format,
                                 const engine_request &request, std::uint32_t begin,
                                 std::uint32_t end)
{
    std::string events;
    for (std::uint32_t i = begin; i < end; ++i) {
        format.appendToken(events, answerToken(request.model, request.prompt, i));
        if (m_options.immediate) {
            if (!exchange.writeChunk(events))
                return false;
            events.clear();
        }
    }
    return events.empty() || exchange.writeChunk(events);
}

std::shared_ptr<sequence_progress> engine_service::submit(const engine_request &request)
{
    if (m_options.immediate) {
        auto progress = std::make_shared<sequence_progress>();
        progress->endOfReady = request.maxTokens;
        progress->done = true;
        return progress;
    }
    auto progress = m_runner.submit(request.prompt, request.resumeFrom, request.maxTokens);
    sampleLoad();
    return progress;
}

void engine_service::sampleLoad()
{
    const time_point now = steadyNow();
    m_report.add(now, m_runner.model().load());
    m_cacheEvents.add(now, m_runner.model().takeCacheEvents());
}

void engine_service::listModels(http_exchange &exchange)
{
    nlohmann::json models = nlohmann::json::array();
    for (const std::string &model : m_models)
        models.push_back({{"id", model}, {"object", "model"}, {"owned_by", "standin"}});
    respondJson(exchange, 200, {{"object", "list"}, {"data", models}});
}

void engine_service::health(http_exchange &exchange)
{
    respondJson(exchange, 200, {{"status", "ok"}, {"role", m_role}, {"adapters", m_adapters}});
}

void engine_service::showLoad(http_exchange &exchange)
{
    const time_point now = steadyNow();
    const load_sample sample = m_report.shown(now);
    engine_model &model = m_runner.model();
    respondJson(exchange, 200,
                {{"active", sample.load.active},
                 {"waiting", sample.load.waiting},
                 {"kv_used", sample.load.kvUsed},
                 {"kv_limit", m_options.profile.kvTokens},
                 {"iterations", model.iterations()},
                 {"prompt_tokens", model.promptTokensAdmitted()},
                 {"cached_prompt_tokens", model.cachedPromptTokens()}});
}

void engine_service::showCacheEvents(http_exchange &exchange)
{
    sampleLoad();
    const std::uint64_t from = numberOr(exchange.request().queryParameter("from"), 1);
    respondJson(exchange, 200, m_cacheEvents.show(steadyNow(), from));
}

void engine_service::showExecutions(http_exchange &exchange)
{
    const std::uint64_t from = numberOr(exchange.request().queryParameter("from"), 1);
    respondJson(exchange, 200, m_executions.show(from));
}

void engine_service::giveOrder(http_exchange &exchange)
{
    const auto body = objectBody(exchange);
    if (!body)
        return;
    engine_order order;
    try {
        order.id = body->value("order_id", "");
        order.fence = body->at("fence").get<std::uint64_t>();
        order.kind = body->at("kind").get<std::string>();
        order.argument = body->value("argument", "");
    } catch (const nlohmann::json::exception &error) {
        return respondError(exchange, 400, "malformed_order", error.what());
    }
    if (!m_orders.accept(order))
        return respondError(exchange, 409, "stale_fence",
                            absl::StrCat("fence ", m_orders.highestFence(), " was seen"));
    boost::this_fiber::sleep_for(m_options.orderTime);
    if (!readWeights(order))
        return respondError(exchange, 503, "weights_busy", "the weight store does not answer");
    carryOut(order);
    m_orders.carriedOut(order);
    respondJson(exchange, 200, {{"accepted", true}, {"fence", order.fence}});
}

bool engine_service::readWeights(const engine_order &order)
{
    if (m_options.weightStore.empty() || !order.kind.starts_with("load_"))
        return true;
    http_client store(m_thread.io(), m_options.weightStore);
    http_client_request request;
    request.target = absl::StrCat("/v1/weights/", order.argument);
    const auto head = store.start(request);
    if (!head.ok() || head->status != 200)
        return false;
    for (;;) {
        const auto part = store.readSome();
        if (!part.ok() || part->empty())
            return part.ok();
    }
}

void engine_service::carryOut(const engine_order &order)
{
    const bool loads = order.kind == "load_model" || order.kind == "load_version";
    if (loads && std::ranges::find(m_models, order.argument) == m_models.end())
        m_models.push_back(order.argument);
    else if (order.kind == "unload_model")
        std::erase(m_models, order.argument);
    else if (order.kind == "load_adapter")
        m_adapters.push_back(order.argument);
    else if (order.kind == "change_role")
        m_role = order.argument;
}

void engine_service::showOrders(http_exchange &exchange)
{
    nlohmann::json shown = {{"orders", m_orders.show()}, {"in_force", m_orders.showInForce()}};
    if (m_orders.checksFences())
        shown["highest_fence"] = m_orders.highestFence();
    respondJson(exchange, 200, shown);
}

void engine_service::setFaults(http_exchange &exchange)
{
    const auto body = objectBody(exchange);
    if (!body)
        return;
    try {
        parseFaults(*body);
    } catch (const nlohmann::json::exception &error) {
        return respondError(exchange, 400, "malformed_fault", error.what());
    }
    showFaults(exchange);
}

void engine_service::parseFaults(const nlohmann::json &body)
{
    m_faults.failNext = body.value("fail_next", m_faults.failNext);
    m_faults.failShare = std::clamp(body.value("fail_share", m_faults.failShare), 0.0, 1.0);
    m_faults.crashOn = body.value("crash_on", m_faults.crashOn);
    if (body.contains("cut_stream_after")) {
        m_faults.cutStreamAfter = body["cut_stream_after"].get<std::uint32_t>();
        m_faults.cutStreams = 1;
    }
    m_faults.cutStreams = body.value("cut_streams", m_faults.cutStreams);
    m_faults.crossAnswers = body.value("cross_answers", m_faults.crossAnswers);
    if (body.contains("slow_factor")) {
        m_slowFactor = std::max(0.0, body["slow_factor"].get<double>());
        m_runner.model().setSlowFactor(m_slowFactor);
    }
    if (body.contains("report_lag_ms"))
        m_report.setLag(std::chrono::milliseconds(body["report_lag_ms"].get<std::int64_t>()));
    if (body.contains("freeze_ms")) {
        const std::chrono::milliseconds time(body["freeze_ms"].get<std::int64_t>());
        m_freeze.freezeFor(time);
        m_runner.pauseFor(time);
    }
    if (body.contains("hang"))
        m_runner.setHanging(body["hang"].get<bool>());
}

void engine_service::showFaults(http_exchange &exchange)
{
    respondJson(exchange, 200,
                {{"fail_next", m_faults.failNext},
                 {"fail_share", m_faults.failShare},
                 {"cut_stream_after", m_faults.cutStreamAfter},
                 {"cut_streams", m_faults.cutStreams},
                 {"cross_answers", m_faults.crossAnswers},
                 {"crash_on", m_faults.crashOn},
                 {"slow_factor", m_slowFactor},
                 {"hang", m_runner.hanging()},
                 {"frozen", m_freeze.frozen()}});
}

} // namespace tamarack::standins
