// The settings of one program.
#pragma once

#include <tamarackglade/settings/setting_option.hpp>

#include <absl/types/span.h>

#include <string>
#include <vector>

namespace tamarack {

/// @brief A program's name, which is also its section in the INI file, and its settings.
struct option_table
{
    std::string_view program;
    std::string_view summary;
    std::vector<setting_option> options;

    /// @return the option, or null
    [[nodiscard]] const setting_option *find(std::string_view name) const;
};

/// The settings of tamarack-entry.
const option_table &entryOptions();
/// The settings of tamarack-side.
const option_table &sideOptions();
/// The settings of tamarack-gateway.
const option_table &gatewayOptions();

/// @return the reference page of all programs' settings, as Markdown
std::string settingsReference();

} // namespace tamarack
