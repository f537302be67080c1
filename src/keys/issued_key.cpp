// Keys from OpenSSL's random generator.
#include <tamarackglade/keys/issued_key.hpp>
#include <tamarackglade/keys/key_format.hpp>

#include <openssl/rand.h>

#include <string_view>

namespace tamarack {

namespace {

constexpr std::string_view Base62 =
    "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";
// Bytes of at least this value are drawn again, so that every character is equally likely.
constexpr unsigned FirstRejectedByte = 256 - 256 % Base62.size();

// Returns random base62 characters; empty if the generator fails.
std::string randomBase62(std::size_t length)
{
    std::string text;
    while (text.size() < length) {
        unsigned char byte = 0;
        if (RAND_bytes(&byte, 1) != 1)
            return {};
        if (byte < FirstRejectedByte)
            text += Base62[byte % Base62.size()];
    }
    return text;
}

} // namespace

absl::StatusOr<issued_key> issueKey()
{
    const std::string id = randomBase62(KeyIdLength);
    const std::string secret = randomBase62(KeySecretLength);
    if (id.empty() || secret.empty())
        return absl::UnavailableError("OpenSSL's random generator failed");
    issued_key key;
    key.id = key_id(id);
    key.secretText = "tg_" + id + "_" + secret;
    key.hash = hashKey(key.secretText);
    return key;
}

} // namespace tamarack
