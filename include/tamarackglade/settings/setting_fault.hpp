// What is wrong with a setting.
#pragma once

#include <string>

namespace tamarack {

/// @brief One fault: where it is, what was found, what was expected.
struct setting_fault
{
    std::string source; // a file's name, or "command line"
    int line = 0; // 0 if there is none
    std::string key;
    std::string found;
    std::string expected;

    /// @return "source:line: key: expected ..., found ..."
    [[nodiscard]] std::string text() const;
};

} // namespace tamarack
