// Random bytes from OpenSSL.
#include <tamarackglade/runtime/random_bytes.hpp>

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <openssl/rand.h>

#include <cstdlib>

namespace tamarack {

std::string randomBytes(std::size_t size)
{
    std::string bytes(size, '\0');
    // Without randomness, keys and nonces would be guessable: a broken invariant.
    if (RAND_bytes(reinterpret_cast<unsigned char *>(bytes.data()), static_cast<int>(size)) != 1)
        std::abort();
    return bytes;
}

std::string randomId(const std::string &prefix)
{
    constexpr std::size_t IdBytes = 12;
    return absl::StrCat(prefix, absl::BytesToHexString(randomBytes(IdBytes)));
}

} // namespace tamarack
