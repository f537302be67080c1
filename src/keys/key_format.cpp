// Parsing and redaction of keys.
#include <tamarackglade/keys/key_format.hpp>

#include <absl/strings/ascii.h>

#include <algorithm>

namespace tamarack {

namespace {

constexpr std::string_view KeyPrefix = "tg_";
constexpr std::string_view Redacted = "[redacted]";

std::size_t alphanumericPrefixSize(std::string_view text)
{
    const auto end = std::find_if_not(text.begin(), text.end(), absl::ascii_isalnum);
    return static_cast<std::size_t>(end - text.begin());
}

// Returns the size of "tg_<id>_" at the start of text; 0 if text does not start with it.
std::size_t publicPartSize(std::string_view text)
{
    if (!text.starts_with(KeyPrefix))
        return 0;
    const std::size_t idSize = alphanumericPrefixSize(text.substr(KeyPrefix.size()));
    const std::size_t size = KeyPrefix.size() + idSize + 1;
    if (idSize == 0 || text.size() < size || text[size - 1] != '_')
        return 0;
    return size;
}

} // namespace

std::optional<key_id> parseKeyId(std::string_view presented)
{
    constexpr std::size_t PublicSize = KeyPrefix.size() + KeyIdLength + 1;
    if (presented.size() != PublicSize + KeySecretLength)
        return std::nullopt;
    if (publicPartSize(presented) != PublicSize)
        return std::nullopt;
    if (alphanumericPrefixSize(presented.substr(PublicSize)) != KeySecretLength)
        return std::nullopt;
    return key_id(std::string(presented.substr(KeyPrefix.size(), KeyIdLength)));
}

bool isKeyId(std::string_view text)
{
    return text.size() == KeyIdLength && alphanumericPrefixSize(text) == KeyIdLength;
}

std::string redactKeys(std::string_view text)
{
    std::string result;
    while (!text.empty()) {
        const std::size_t start = std::min(text.find(KeyPrefix), text.size());
        result += text.substr(0, start);
        text.remove_prefix(start);
        const std::size_t publicSize = publicPartSize(text);
        if (publicSize == 0) {
            const std::size_t plain = std::min(KeyPrefix.size(), text.size());
            result += text.substr(0, plain);
            text.remove_prefix(plain);
            continue;
        }
        result += text.substr(0, publicSize);
        text.remove_prefix(publicSize);
        const std::size_t secretSize = alphanumericPrefixSize(text);
        if (secretSize > 0)
            result += Redacted;
        text.remove_prefix(secretSize);
    }
    return result;
}

} // namespace tamarack
