// Reads a program's settings: defaults, then the INI file, then the command line.
#pragma once

#include <tamarackglade/settings/setting_values.hpp>

#include <absl/status/statusor.h>

namespace tamarack {

/// @brief What the command line asked for.
struct loaded_settings
{
    setting_values values;
    bool checkOnly = false; // --check-settings was given
};

/// @brief Reads one INI text into values.
/// @param values receives what is valid
/// @param faults receives every fault: unknown keys and sections, duplicates, malformed values
void readSettingsText(const option_table &table, const std::string &text, const std::string &source,
                      setting_values &values, std::vector<setting_fault> &faults);

/// @brief Parses the command line with gflags and the file that --settings names.
/// @return the settings, or InvalidArgument with one line for each fault
absl::StatusOr<loaded_settings> loadSettings(const option_table &table, int argc, char **argv);

/// @brief Reads the file again, with the flags of the command line that loadSettings parsed.
/// @return the settings, or InvalidArgument with one line for each fault
absl::StatusOr<setting_values> reloadSettings(const option_table &table);

/// @return the present text of the file that --settings names; empty if it can't be read
std::string settingsFileText();

} // namespace tamarack
