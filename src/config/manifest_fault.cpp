// Text of a manifest's faults.
#include <tamarackglade/ini/manifest_fault.hpp>
#include <tamarackglade/ini/text.hpp>

namespace tamarack {

std::string manifest_fault::toString() const
{
    std::string text = line == 0 ? std::string("manifest: ") : concat("line ", line, ": ");
    if (!section.empty())
        text += concat("[", section, "] ");
    if (!key.empty())
        text += concat(key, ": ");
    if (!found.empty())
        text += concat("found ", found, ", ");
    return concat(text, "expected ", expected);
}

} // namespace tamarack
