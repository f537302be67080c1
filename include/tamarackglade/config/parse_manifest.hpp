// Reads and checks a manifest's INI text.
#pragma once

#include <tamarackglade/config/manifest_result.hpp>

#include <string_view>

namespace tamarack {

/// @brief Parses and checks the whole text.
/// @return a manifest, or every fault of the text; complexity O(size log size)
manifest_result parseManifest(std::string_view text);

} // namespace tamarack
