// Parses the events of a completion's stream and assembles its answer.
#include <tamarackglade/side/resumable_answer.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace tamarack {

namespace {

using nlohmann::json;

constexpr std::string_view ChatPath = "/chat/completions";
constexpr std::string_view TextPath = "/completions";
constexpr std::string_view EventPrefix = "data: ";
constexpr std::string_view StreamEndMarker = "[DONE]";
constexpr std::string_view EventStreamType = "text/event-stream";
constexpr unsigned StatusOk = 200;
// Request options whose answers hold more than the text of one choice.
constexpr std::array<const char *, 8> UnresumableOptions{
    "best_of", "echo", "function_call", "functions", "logprobs", "suffix", "tools", "top_logprobs"};

std::string dump(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string stringOf(const json &object, const char *name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

bool requestsSingleText(const json &request)
{
    const auto count = request.find("n");
    if (count != request.end() && *count != 1)
        return false;
    return std::none_of(UnresumableOptions.begin(), UnresumableOptions.end(),
                        [&](const char *name) { return request.contains(name); });
}

} // namespace

std::optional<resumable_answer> resumable_answer::fromRequest(std::string_view target,
                                                              std::string_view body)
{
    const bool chat = target.ends_with(ChatPath);
    if (!chat && !target.ends_with(TextPath))
        return std::nullopt;
    json request = json::parse(body, nullptr, false);
    if (!request.is_object() || !requestsSingleText(request))
        return std::nullopt;
    request["stream"] = true;
    request["stream_options"] = {{"include_usage", true}};
    return resumable_answer(std::move(request), chat);
}

std::string resumable_answer::beginRun()
{
    m_partialLine.clear();
    m_complete = false;
    m_ignoresData = false;
    m_failure.clear();
    dropLastToken();
    if (m_tokenCount > 0)
        m_request["resume_from"] = m_tokenCount;
    return dump(m_request);
}

void resumable_answer::dropLastToken()
{
    if (m_lastTokenBytes == 0)
        return;
    m_text.resize(m_text.size() - std::exchange(m_lastTokenBytes, 0));
    --m_tokenCount;
}

run_response resumable_answer::onHead(unsigned status, std::string_view contentType)
{
    if (status == StatusOk && contentType.starts_with(EventStreamType))
        return run_response::Stream;
    m_ignoresData = true;
    if (m_tokenCount == 0)
        return run_response::WholeAnswer;
    m_failure = "the engine did not go on with the answer: status " + std::to_string(status);
    return run_response::Refusal;
}

void resumable_answer::onData(std::string_view data)
{
    if (m_ignoresData)
        return;
    const std::size_t searched = m_partialLine.size();
    m_partialLine += data;
    std::size_t begin = 0;
    for (auto end = m_partialLine.find('\n', searched); end != std::string::npos;
         end = m_partialLine.find('\n', begin)) {
        onLine(std::string_view(m_partialLine).substr(begin, end - begin));
        begin = end + 1;
    }
    m_partialLine.erase(0, begin);
}

void resumable_answer::onLine(std::string_view text)
{
    if (!text.starts_with(EventPrefix))
        return;
    text.remove_prefix(EventPrefix.size());
    if (text.ends_with('\r'))
        text.remove_suffix(1);
    if (text == StreamEndMarker) {
        m_complete = true;
        return;
    }
    const json chunk = json::parse(text, nullptr, false);
    if (!chunk.is_object())
        m_failure = "an event of the stream is not a JSON object";
    else if (chunk.contains("error"))
        m_failure = dump(chunk["error"]);
    else
        onChunk(chunk);
}

void resumable_answer::onChunk(const json &chunk)
{
    if (m_metadata.is_null()) {
        m_metadata = {{"id", stringOf(chunk, "id")}, {"model", stringOf(chunk, "model")}};
        m_metadata["created"] = chunk.value("created", json(0));
    }
    const auto usage = chunk.find("usage");
    if (usage != chunk.end() && usage->is_object())
        m_promptTokens = usage->value("prompt_tokens", m_promptTokens);
    const auto choices = chunk.find("choices");
    if (choices != chunk.end() && choices->is_array() && !choices->empty())
        onChoice(choices->front());
}

void resumable_answer::onChoice(const json &choice)
{
    if (!choice.is_object())
        return;
    const auto reason = choice.find("finish_reason");
    if (reason != choice.end() && !reason->is_null())
        m_finishReason = *reason;
    const auto delta = choice.find("delta");
    const bool hasDelta = m_chat && delta != choice.end() && delta->is_object();
    const std::string text = m_chat ? (hasDelta ? stringOf(*delta, "content") : std::string())
                                    : stringOf(choice, "text");
    if (text.empty())
        return;
    m_text += text;
    m_lastTokenBytes = text.size();
    ++m_tokenCount;
}

std::string resumable_answer::body() const
{
    json choice{{"index", 0}, {"logprobs", nullptr}, {"finish_reason", m_finishReason}};
    if (m_chat)
        choice["message"] = {{"role", "assistant"}, {"content", m_text}};
    else
        choice["text"] = m_text;
    json answer = m_metadata;
    answer["object"] = m_chat ? "chat.completion" : "text_completion";
    answer["choices"] = json::array({std::move(choice)});
    answer["usage"] = {{"prompt_tokens", m_promptTokens},
                       {"completion_tokens", m_tokenCount},
                       {"total_tokens", m_promptTokens + m_tokenCount}};
    return dump(answer);
}

} // namespace tamarack
