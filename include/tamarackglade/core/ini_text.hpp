// Reads INI text with the line of each entry.
#pragma once

#include <functional>
#include <string>

namespace tamarack {

/// @brief One "name = value" of an INI text; views are valid during the call only.
struct ini_entry
{
    std::string section; // "" before the first section
    std::string name;
    std::string value;
    int line; // from 1
};

/// @brief Calls onEntry for each entry, in order.
/// @return the first line that is neither a section, an entry, a comment nor blank; 0 if none
int readIniText(const std::string &text, const std::function<void(const ini_entry &)> &onEntry);

} // namespace tamarack
