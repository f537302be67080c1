// The manifest's option table. It drives parsing, defaults, faults and the reference page.
#pragma once

#include <tamarackglade/config/manifest.hpp>
#include <tamarackglade/config/section_option.hpp>

#include <span>
#include <string>

namespace tamarack {

std::span<const section_option<fleet_options>> fleetOptionTable();
std::span<const section_option<batch_options>> batchOptionTable();
std::span<const section_option<group_options>> groupOptionTable();
std::span<const section_option<model_options>> modelOptionTable();
std::span<const section_option<customer_options>> customerOptionTable();
std::span<const section_option<route_options>> routeOptionTable();
std::span<const section_option<objective_options>> objectiveOptionTable();

/// @return the whole table as Markdown, for docs/manifest.md
std::string manifestOptionsMarkdown();

} // namespace tamarack
