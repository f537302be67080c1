// Key hashes with OpenSSL.
#include <tamarackglade/keys/key_hash.hpp>

#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace tamarack {

key_hash hashKey(std::string_view presented)
{
    key_hash hash{};
    SHA256(reinterpret_cast<const unsigned char *>(presented.data()), presented.size(),
           hash.data());
    return hash;
}

bool equalHashes(const key_hash &left, const key_hash &right)
{
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace tamarack
