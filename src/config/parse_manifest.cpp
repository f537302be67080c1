// From INI text to a checked manifest.
#include <tamarackglade/config/manifest_builder.hpp>
#include <tamarackglade/config/parse_manifest.hpp>
#include <tamarackglade/core/hash.hpp>
#include <tamarackglade/ini/ini_document.hpp>

#include <algorithm>

namespace tamarack {

manifest_result parseManifest(std::string_view text)
{
    const ini_document document = readIni(text);
    manifest_builder builder;
    builder.faults() = document.faults;
    for (const ini_section &section : document.sections)
        builder.add(section);
    builder.finish();
    manifest_result result;
    result.faults = std::move(builder.faults());
    std::stable_sort(result.faults.begin(), result.faults.end(),
                     [](const auto &left, const auto &right) { return left.line < right.line; });
    if (!result.faults.empty())
        return result;
    builder.draft().text = std::string(text);
    builder.draft().digest = stableHash(text);
    result.parsed = std::make_shared<const manifest>(std::move(builder.draft()));
    return result;
}

} // namespace tamarack
