// Execution, its record, and the faults around it.
#include "plain_service.hpp"

#include "../../support/standins_json.hpp"
#include <tamarackglade/core/hash.hpp>

#include <absl/strings/str_cat.h>

namespace tamarack::standins {

namespace {

constexpr std::size_t MaxKept = 100'000; // executions

std::string digestOf(const std::string &body)
{
    return absl::StrCat(absl::Hex(stableHash(body), absl::kZeroPad16));
}

nlohmann::json headersOf(const http_request &request)
{
    nlohmann::json headers = nlohmann::json::object();
    for (const auto &field : request.headers)
        headers[std::string(field.name_string())] = std::string(field.value());
    return headers;
}

} // namespace

void plain_service::handle(http_exchange &exchange)
{
    const http_request &request = exchange.request();
    if (request.path == "/fault" && request.method == "POST")
        return setFaults(exchange);
    if (request.path == "/executions" && request.method == "GET")
        return showExecutions(exchange);
    m_freeze.pass();
    if (request.path == "/health")
        return respondJson(exchange, 200, {{"status", "ok"}});
    execute(exchange);
}

void plain_service::execute(http_exchange &exchange)
{
    if (m_faults.refuse)
        return respondError(exchange, 503, "refused", "not executed");
    const std::uint64_t number = recordExecution(exchange.request());
    if (m_faults.delay.count() > 0)
        boost::this_fiber::sleep_for(m_faults.delay);
    m_freeze.pass();
    if (m_faults.cutAfterExecute > 0) {
        --m_faults.cutAfterExecute;
        finish(number, "cut");
        return exchange.abortStream();
    }
    if (m_faults.failNext > 0) {
        --m_faults.failNext;
        finish(number, "failed");
        return respondError(exchange, 500, "failed", "the execution failed");
    }
    finish(number, "answered");
    const http_request &request = exchange.request();
    respondJson(exchange, 200,
                {{"execution", number},
                 {"method", request.method},
                 {"path", request.target},
                 {"body_digest", digestOf(request.body)},
                 {"body", request.body}});
}

std::uint64_t plain_service::recordExecution(const http_request &request)
{
    plain_execution execution;
    execution.number = ++m_executed;
    execution.method = request.method;
    execution.target = request.target;
    execution.bodyDigest = digestOf(request.body);
    execution.requestId = std::string(request.header("x-request-id"));
    execution.idempotencyKey = std::string(request.header("idempotency-key"));
    execution.headers = headersOf(request);
    execution.outcome = "running";
    m_executions.push_back(std::move(execution));
    if (m_executions.size() > MaxKept)
        m_executions.pop_front();
    return m_executed;
}

void plain_service::finish(std::uint64_t number, const char *outcome)
{
    const std::uint64_t first = m_executions.front().number;
    if (number >= first)
        m_executions[number - first].outcome = outcome;
}

void plain_service::showExecutions(http_exchange &exchange)
{
    nlohmann::json shown = nlohmann::json::array();
    for (const plain_execution &execution : m_executions)
        shown.push_back(toJson(execution));
    respondJson(exchange, 200, {{"count", m_executed}, {"executions", shown}});
}

void plain_service::setFaults(http_exchange &exchange)
{
    const auto body = objectBody(exchange);
    if (!body)
        return;
    try {
        m_faults.delay = std::chrono::milliseconds(body->value("delay_ms", m_faults.delay.count()));
        m_faults.failNext = body->value("fail_next", m_faults.failNext);
        m_faults.cutAfterExecute = body->value("cut_after_execute", m_faults.cutAfterExecute);
        m_faults.refuse = body->value("refuse", m_faults.refuse);
        m_freeze.freezeFor(std::chrono::milliseconds(body->value("freeze_ms", 0)));
    } catch (const nlohmann::json::exception &error) {
        return respondError(exchange, 400, "malformed_fault", error.what());
    }
    respondJson(exchange, 200,
                {{"delay_ms", m_faults.delay.count()},
                 {"fail_next", m_faults.failNext},
                 {"cut_after_execute", m_faults.cutAfterExecute},
                 {"refuse", m_faults.refuse}});
}

} // namespace tamarack::standins
