// JSON written as text around the parts that vary, since a stream repeats it for each token.
#include "answer_format.hpp"

#include <tamarackglade/load/expected_answer.hpp>
#include <tamarackglade/runtime/steady_now.hpp>

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace tamarack::standins {

answer_format::answer_format(const engine_request &request, std::uint64_t execution)
    : m_request(request), m_id(absl::StrCat(request.chat ? "chatcmpl-" : "cmpl-", execution)),
      m_model(nlohmann::json(request.model).dump())
{
    const char *object = request.chat ? "chat.completion.chunk" : "text_completion";
    const char *field = request.chat ? R"("delta":{"content":")" : R"("text":")";
    m_eventHead = absl::StrCat("data: ", head(object), R"("choices":[{"index":0,)", field);
    m_eventTail = absl::StrCat(request.chat ? "\"}" : "\"",
                               ",\"logprobs\":null,\"finish_reason\":null}]}\n\n");
}

std::string answer_format::whole(const std::string &text) const
{
    const char *object = m_request.chat ? "chat.completion" : "text_completion";
    const std::string content =
        m_request.chat ? absl::StrCat(R"("message":{"role":"assistant","content":")", text, "\"}")
                       : absl::StrCat(R"("text":")", text, "\"");
    return absl::StrCat(head(object), R"("choices":[{"index":0,)", content,
                        R"(,"logprobs":null,"finish_reason":"length"}],)", usage(), "}");
}

void answer_format::appendToken(std::string &out, const std::string &token) const
{
    absl::StrAppend(&out, m_eventHead, token, m_eventTail);
}

std::string answer_format::streamEnd() const
{
    const char *object = m_request.chat ? "chat.completion.chunk" : "text_completion";
    const char *content = m_request.chat ? R"("delta":{})" : R"("text":"")";
    std::string end = absl::StrCat("data: ", head(object), R"("choices":[{"index":0,)", content,
                                   ",\"logprobs\":null,\"finish_reason\":\"length\"}]}\n\n");
    if (m_request.includeUsage)
        absl::StrAppend(&end, "data: ", head(object), R"("choices":[],)", usage(), "}\n\n");
    return end + "data: [DONE]\n\n";
}

std::string answer_format::head(const char *object) const
{
    return absl::StrCat(R"({"id":")", m_id, R"(","object":")", object, R"(","created":)",
                        wallSeconds(), R"(,"model":)", m_model, ",");
}

std::string answer_format::usage() const
{
    const std::uint32_t prompt = promptTokens(m_request.prompt);
    const std::uint32_t completion = m_request.maxTokens - m_request.resumeFrom;
    return absl::StrCat(R"("usage":{"prompt_tokens":)", prompt, R"(,"completion_tokens":)",
                        completion, R"(,"total_tokens":)", prompt + completion, "}");
}

} // namespace tamarack::standins
