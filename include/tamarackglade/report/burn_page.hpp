// The burn report as one self-contained HTML page.
#pragma once

#include <tamarackglade/report/burn_summary.hpp>

#include <string>

namespace tamarack {

/// @return the HTML text; style and SVG plots are inline, so that it loads no other resource
std::string burnPage(const burn_summary &summary);

} // namespace tamarack
