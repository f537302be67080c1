// XXH3 behind the project's own name.
#include <tamarackglade/core/hash.hpp>

#include <xxhash.h>

namespace tamarack {

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace tamarack
