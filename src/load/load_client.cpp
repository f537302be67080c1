// Implements requests over pooled connections and the check of their answers.
#include <tamarackglade/load/answer_checker.hpp>
#include <tamarackglade/load/expected_answer.hpp>
#include <tamarackglade/load/load_client.hpp>
#include <tamarackglade/load/load_plan.hpp>
#include <tamarackglade/runtime/steady_now.hpp>

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace tamarack {

namespace {

constexpr std::chrono::milliseconds ReadTimeout{120'000};

// Returns the status and the error code of an error answer, or the status if there is no code.
std::string refusalReason(unsigned status, const std::string &body)
{
    const auto parsed = nlohmann::json::parse(body, nullptr, false);
    if (parsed.is_object() && parsed.contains("error") && parsed["error"].is_object()) {
        const auto code = parsed["error"].find("code");
        if (code != parsed["error"].end() && code->is_string())
            return absl::StrCat(status, " ", code->get<std::string>());
    }
    return std::to_string(status);
}

bool isRefusal(unsigned status)
{
    return (status >= 400 && status < 500) || status == 503;
}

std::string answerText(const std::string &body)
{
    const auto parsed = nlohmann::json::parse(body, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("choices") || !parsed["choices"].is_array()
        || parsed["choices"].empty())
        return {};
    const auto &choice = parsed["choices"][0];
    if (!choice.contains("message") || !choice["message"].contains("content")
        || !choice["message"]["content"].is_string())
        return {};
    return choice["message"]["content"].get<std::string>();
}

} // namespace

struct load_client::exchange_state
{
    const planned_request &request;
    time_point intended;
    http_client &connection;
    std::string expected;
    request_outcome outcome;
};

load_client::load_client(boost::asio::io_context &io, const load_profile &profile)
    : m_io(io), m_profile(profile), m_idle(profile.targets.size())
{
}

request_outcome load_client::execute(const planned_request &request, time_point intended)
{
    const load_class &kind = m_profile.classes[request.requestClass];
    const std::string prompt = promptText(m_profile, request);
    auto connection = acquireConnection(request.target);
    exchange_state state{request,
                         intended,
                         *connection,
                         expectedAnswer(kind.model, "user: " + prompt + "\n", kind.maxTokens),
                         {}};
    state.outcome.expectedTokens = kind.maxTokens;
    state.outcome.reason = "unfinished";
    if (m_stopped)
        return state.outcome;
    m_active.insert(connection.get());
    const auto head = connection->start(buildRequest(request, prompt));
    if (!head.ok()) {
        fail(state, head.status(), outcome_kind::Failed);
    } else if (head->status != 200) {
        readError(state, head->status);
    } else {
        readAnswer(state);
    }
    m_active.erase(connection.get());
    if (connection->idle() && !m_stopped)
        m_idle[request.target].push_back(std::move(connection));
    return std::move(state.outcome);
}

void load_client::stop()
{
    m_stopped = true;
    for (http_client *connection : m_active)
        connection->abort();
}

std::unique_ptr<http_client> load_client::acquireConnection(std::uint32_t target)
{
    auto &idle = m_idle[target];
    if (idle.empty()) {
        auto connection = std::make_unique<http_client>(m_io, m_profile.targets[target].address);
        connection->setTimeout(ReadTimeout);
        return connection;
    }
    auto connection = std::move(idle.back());
    idle.pop_back();
    return connection;
}

http_client_request load_client::buildRequest(const planned_request &request,
                                              const std::string &prompt) const
{
    const load_class &kind = m_profile.classes[request.requestClass];
    const std::string &key = m_profile.customers[request.customer].key;
    http_client_request sent;
    sent.method = "POST";
    sent.target = "/v1/chat/completions";
    sent.contentType = "application/json";
    if (!key.empty())
        sent.headers.emplace_back("Authorization", "Bearer " + key);
    // Prompts contain only lower case letters and spaces, so they need no JSON escapes.
    sent.body =
        absl::StrCat(R"({"model":)", nlohmann::json(kind.model).dump(),
                     R"(,"messages":[{"role":"user","content":")", prompt, R"("}],"max_tokens":)",
                     kind.maxTokens, request.streamed ? R"(,"stream":true})" : "}");
    return sent;
}

void load_client::readError(exchange_state &state, unsigned status)
{
    const auto body = readBody(state);
    if (!body.ok())
        return fail(state, body.status(), outcome_kind::Cut);
    state.outcome.kind = isRefusal(status) ? outcome_kind::Refused : outcome_kind::Failed;
    state.outcome.reason = refusalReason(status, *body);
}

void load_client::readAnswer(exchange_state &state)
{
    if (state.request.streamed)
        readStream(state);
    else
        readFullAnswer(state);
    state.outcome.total = steadyNow() - state.intended;
}

void load_client::readStream(exchange_state &state)
{
    answer_checker checker(std::move(state.expected), true);
    request_outcome &outcome = state.outcome;
    time_point last{};
    for (;;) {
        const auto part = state.connection.readSome();
        if (!part.ok())
            return fail(state, part.status(), outcome_kind::Cut);
        if (part->empty())
            break;
        const std::uint32_t tokens = checker.feed(*part);
        if (tokens == 0)
            continue;
        const time_point now = steadyNow();
        if (outcome.firstToken)
            outcome.gaps.push_back(now - last);
        else
            outcome.firstToken = now - state.intended;
        // Tokens of the same read have no gap between them.
        outcome.gaps.insert(outcome.gaps.end(), tokens - 1, duration{});
        outcome.tokens += tokens;
        last = now;
    }
    outcome.kind = checker.isWhole()                          ? outcome_kind::Whole
                   : checker.isDone() && !checker.hasFailed() ? outcome_kind::Wrong
                                                              : outcome_kind::Cut;
    outcome.reason = checker.hasFailed() ? "error event"
                     : checker.isDone()  ? "wrong text"
                                         : "no end";
}

void load_client::readFullAnswer(exchange_state &state)
{
    const auto body = readBody(state);
    if (!body.ok())
        return fail(state, body.status(), outcome_kind::Cut);
    const bool whole = answerText(*body) == state.expected;
    state.outcome.kind = whole ? outcome_kind::Whole : outcome_kind::Wrong;
    state.outcome.reason = "wrong text";
    state.outcome.tokens = whole ? state.outcome.expectedTokens : 0;
}

absl::StatusOr<std::string> load_client::readBody(exchange_state &state)
{
    std::string body;
    for (;;) {
        const auto part = state.connection.readSome();
        if (!part.ok())
            return part.status();
        if (part->empty())
            return body;
        body += *part;
    }
}

void load_client::fail(exchange_state &state, const absl::Status &status, outcome_kind kind)
{
    if (m_stopped)
        return;
    state.outcome.kind = kind;
    state.outcome.reason = absl::StatusCodeToString(status.code());
}

} // namespace tamarack
