// The digest that the build writes into a header.
#include <tamarackglade/runtime/source_digest.hpp>

#include <built_from.hpp>

namespace tamarack {

std::string_view sourceDigest()
{
    return SourceDigest;
}

} // namespace tamarack
