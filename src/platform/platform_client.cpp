// The platform's HTTP protocol.
#include <tamarackglade/platform/platform_client.hpp>
#include <tamarackglade/runtime/machine_limits.hpp>
#include <tamarackglade/runtime/steady_now.hpp>

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <flatbuffers/base.h>
#include <nlohmann/json.hpp>

namespace tamarack {

namespace {

constexpr std::chrono::milliseconds CallTimeout{3'000};
constexpr std::size_t MaxIdleClients = 16;
constexpr std::size_t AnswerShare = 8; // of the memory, as its divisor
constexpr std::size_t EntryHeaderBytes = 12; // 64-bit offset, 32-bit length

std::uint64_t headerNumber(const http_response &response, absl::string_view name)
{
    std::uint64_t number = 0;
    for (const auto &[key, value] : response.headers) {
        if (absl::EqualsIgnoreCase(key, name) && !absl::SimpleAtoi(value, &number))
            return 0;
    }
    return number;
}

absl::StatusOr<std::vector<log_entry>> parseEntries(std::string_view body)
{
    std::vector<log_entry> entries;
    while (!body.empty()) {
        if (body.size() < EntryHeaderBytes)
            return absl::UnavailableError("the log's answer is cut");
        const auto offset = flatbuffers::ReadScalar<std::uint64_t>(body.data());
        const auto length = flatbuffers::ReadScalar<std::uint32_t>(body.data() + 8);
        body.remove_prefix(EntryHeaderBytes);
        if (body.size() < length)
            return absl::UnavailableError("the log's answer is cut");
        entries.push_back({log_offset(offset), std::string(body.substr(0, length))});
        body.remove_prefix(length);
    }
    return entries;
}

} // namespace

platform_client::platform_client(io_thread &thread, std::vector<std::string> addresses)
    : m_thread(thread), m_addresses(std::move(addresses)),
      m_answerBytes(machineLimits().memoryBytes / AnswerShare)
{
}

absl::StatusOr<log_offset> platform_client::append(const std::string &stream,
                                                   const std::string &payload)
{
    http_client_request request;
    request.method = "POST";
    request.target = absl::StrCat("/v1/streams/", stream, "/records");
    request.contentType = "application/octet-stream";
    request.body = payload;
    const auto response = call(request, CallTimeout);
    if (!response.ok()) {
        if (absl::IsUnavailable(response.status()))
            return response.status();
        return absl::UnknownError(response.status().message());
    }
    // A refusal says that nothing was stored; a server's failure doesn't.
    if (response->status == 503 || response->status == 429 || response->status == 413)
        return absl::UnavailableError(absl::StrCat("the log answered ", response->status));
    if (response->status != 200)
        return absl::UnknownError(absl::StrCat("the log answered ", response->status));
    const auto json = nlohmann::json::parse(response->body, nullptr, false);
    if (!json.is_object() || !json.contains("offset") || !json["offset"].is_number_unsigned())
        return absl::UnknownError("the log's answer has no offset");
    return log_offset(json["offset"].get<std::uint64_t>());
}

absl::StatusOr<log_read> platform_client::read(const std::string &stream, log_offset from,
                                               std::size_t limit, std::chrono::milliseconds wait)
{
    http_client_request request;
    request.target = absl::StrCat("/v1/streams/", stream, "/records?from=", from.value(),
                                  "&limit=", limit, "&wait_ms=", wait.count());
    log_read result;
    result.requestedAt = steadyNow();
    const auto response = call(request, CallTimeout + wait);
    if (!response.ok())
        return absl::UnavailableError(response.status().message());
    result.firstRetained = log_offset(headerNumber(*response, "x-first-offset"));
    result.next = log_offset(headerNumber(*response, "x-next-offset"));
    if (response->status == 410)
        return absl::OutOfRangeError(absl::StrCat(result.firstRetained.value()));
    if (response->status != 200)
        return absl::UnavailableError(absl::StrCat("the log answered ", response->status));
    auto entries = parseEntries(response->body);
    if (!entries.ok())
        return entries.status();
    result.entries = std::move(*entries);
    return result;
}

absl::StatusOr<std::string> platform_client::vmListText()
{
    http_client_request request;
    request.target = "/v1/vms";
    auto response = call(request, CallTimeout);
    if (!response.ok())
        return absl::UnavailableError(response.status().message());
    if (response->status != 200)
        return absl::UnavailableError(absl::StrCat("the VM list answered ", response->status));
    return std::move(response->body);
}

std::unique_ptr<http_client> platform_client::takeClient()
{
    if (m_idle.empty())
        return std::make_unique<http_client>(m_thread.io(), m_addresses[m_current]);
    auto client = std::move(m_idle.back());
    m_idle.pop_back();
    return client;
}

void platform_client::returnClient(std::unique_ptr<http_client> client)
{
    if (client->idle() && m_idle.size() < MaxIdleClients)
        m_idle.push_back(std::move(client));
}

absl::StatusOr<http_response> platform_client::call(const http_client_request &request,
                                                    std::chrono::milliseconds timeout)
{
    byte_quota::share held(m_answerBytes);
    auto client = takeClient();
    client->setTimeout(timeout);
    auto response = client->fetch(request, http_client::MaxFetchBytes, &held);
    if (response.ok()) {
        returnClient(std::move(client));
        return response;
    }
    m_idle.clear();
    m_current = (m_current + 1) % m_addresses.size();
    return response;
}

} // namespace tamarack
