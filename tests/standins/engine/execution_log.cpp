// Records of executions as JSON.
#include "execution_log.hpp"

#include <tamarackglade/core/hash.hpp>

#include <absl/strings/str_cat.h>

namespace tamarack::standins {

namespace {

constexpr std::size_t MaxKept = 20'000; // executions

const char *stateName(execution_state state)
{
    switch (state) {
    case execution_state::Finished:
        return "finished";
    case execution_state::Cancelled:
        return "cancelled";
    case execution_state::Cut:
        return "cut";
    case execution_state::Failed:
        return "failed";
    case execution_state::Running:
        break;
    }
    return "running";
}

nlohmann::json toJson(const engine_execution &execution)
{
    nlohmann::json headers = nlohmann::json::object();
    for (const auto &[name, value] : execution.headers)
        headers[name] = value;
    return {{"number", execution.number},
            {"request_id", execution.requestId},
            {"model", execution.model},
            {"prompt_digest", execution.promptDigest},
            {"first_token", execution.firstToken},
            {"max_tokens", execution.maxTokens},
            {"tokens_written", execution.tokensWritten},
            {"state", stateName(execution.state)},
            {"finished", execution.state == execution_state::Finished},
            {"headers", headers}};
}

} // namespace

std::uint64_t execution_log::begin(const http_request &http, const engine_request &request)
{
    engine_execution execution;
    execution.number = ++m_begun;
    execution.requestId = std::string(http.header("x-request-id"));
    execution.model = request.model;
    execution.promptDigest = absl::StrCat(absl::Hex(stableHash(request.prompt), absl::kZeroPad16));
    execution.firstToken = request.resumeFrom;
    execution.maxTokens = request.maxTokens;
    for (const auto &field : http.headers)
        execution.headers.emplace_back(std::string(field.name_string()),
                                       std::string(field.value()));
    m_kept.push_back(std::move(execution));
    if (m_kept.size() > MaxKept)
        m_kept.pop_front();
    return m_begun;
}

void execution_log::addTokens(std::uint64_t number, std::uint32_t tokens)
{
    m_tokens += tokens;
    if (engine_execution *execution = find(number))
        execution->tokensWritten += tokens;
}

void execution_log::end(std::uint64_t number, execution_state state)
{
    if (state == execution_state::Finished)
        ++m_finished;
    if (engine_execution *execution = find(number))
        execution->state = state;
}

nlohmann::json execution_log::show(std::uint64_t from) const
{
    nlohmann::json shown = nlohmann::json::array();
    for (const engine_execution &execution : m_kept) {
        if (execution.number >= from)
            shown.push_back(toJson(execution));
    }
    return {{"begun", m_begun},
            {"finished", m_finished},
            {"tokens_written", m_tokens},
            {"executions", shown}};
}

engine_execution *execution_log::find(std::uint64_t number)
{
    if (m_kept.empty() || number < m_kept.front().number)
        return nullptr;
    return &m_kept[number - m_kept.front().number];
}

} // namespace tamarack::standins
