// An error in the text of a manifest, or in the INI syntax of another file.
#pragma once

#include <string>

namespace tamarack {

struct manifest_fault
{
    unsigned line = 0; // from 1; 0 if the text has no such line, as for a key of an absent section
    std::string section; // header as written between the brackets; empty before the first section
    std::string key; // empty if the fault concerns a section or the syntax of a line
    std::string found; // text or description of what stands there; toString() omits it if empty
    std::string expected; // description of what would be valid

    /// @brief Formats the fault as one line for operators.
    /// @return text such as "line 3: [fleet] partitions: found x, expected y"; it begins with
    /// "manifest: " if there is no line number
    [[nodiscard]] std::string toString() const;

    friend bool operator==(const manifest_fault &, const manifest_fault &) = default;
};

} // namespace tamarack
