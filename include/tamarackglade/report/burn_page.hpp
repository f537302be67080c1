// The burn report as one self-contained HTML page.
#pragma once

#include <tamarackglade/report/burn_summary.hpp>

#include <string>

namespace tamarack {

/// @return HTML with its style and SVG plots inside; it loads nothing
std::string burnPage(const burn_summary &summary);

} // namespace tamarack
