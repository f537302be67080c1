// Checks all parts of a request before any byte of it is written.
#include <tamarackglade/http/request_syntax.hpp>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace tamarack {

namespace {

absl::string_view view(std::string_view text)
{
    return {text.data(), text.size()};
}

bool isTokenCharacter(char c)
{
    constexpr std::string_view Marks = "!#$%&'*+-.^_`|~";
    return absl::ascii_isalnum(static_cast<unsigned char>(c))
           || Marks.find(c) != std::string_view::npos;
}

bool isControl(char c)
{
    return absl::ascii_iscntrl(static_cast<unsigned char>(c));
}

bool isBlank(char c)
{
    return c == ' ' || c == '\t';
}

// The writer sets these itself; a second one could contradict it.
bool isFraming(std::string_view name)
{
    return absl::EqualsIgnoreCase(view(name), "Content-Length")
           || absl::EqualsIgnoreCase(view(name), "Transfer-Encoding");
}

absl::Status checkHeader(std::string_view name, std::string_view value)
{
    if (!isToken(name) || isFraming(name))
        return absl::InvalidArgumentError("a header's name can't be sent");
    if (!isFieldValue(value))
        return absl::InvalidArgumentError(
            absl::StrCat("the value of header ", view(name), " can't be sent"));
    return absl::OkStatus();
}

} // namespace

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isFieldValue(std::string_view text)
{
    return std::none_of(text.begin(), text.end(), [](char c) { return c != '\t' && isControl(c); });
}

bool isTarget(std::string_view text)
{
    return !text.empty() && std::none_of(text.begin(), text.end(), [](char c) {
        return isControl(c) || isBlank(c);
    });
}

std::string percentEncoded(std::string_view text)
{
    constexpr std::string_view Plain = "-._~";
    constexpr std::string_view Digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (absl::ascii_isalnum(byte) || Plain.find(c) != std::string_view::npos)
            encoded.push_back(c);
        else
            encoded += {'%', Digits[byte >> 4], Digits[byte & 0xF]};
    }
    return encoded;
}

absl::StatusOr<std::string> writeRequest(const http_client_request &request,
                                         std::string_view defaultHost)
{
    if (!isToken(request.method))
        return absl::InvalidArgumentError("the method can't be sent");
    if (!isTarget(request.target))
        return absl::InvalidArgumentError("the target can't be sent");
    const std::string_view host = request.host.empty() ? defaultHost : request.host;
    std::string text = absl::StrCat(request.method, " ", request.target, " HTTP/1.1\r\n");
    const auto add = [&text](std::string_view name, std::string_view value) {
        absl::StrAppend(&text, view(name), ": ", view(value), "\r\n");
    };
    absl::Status checked = checkHeader("Host", host);
    add("Host", host);
    for (const auto &[name, value] : request.headers) {
        checked.Update(checkHeader(name, value));
        add(name, value);
    }
    checked.Update(checkHeader("Content-Type", request.contentType));
    if (!checked.ok())
        return checked;
    if (!request.contentType.empty())
        add("Content-Type", request.contentType);
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT")
        absl::StrAppend(&text, "Content-Length: ", request.body.size(), "\r\n");
    absl::StrAppend(&text, "\r\n", request.body);
    return text;
}

} // namespace tamarack
