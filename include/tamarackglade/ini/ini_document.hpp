// The sections and the syntax errors of an INI text.
#pragma once

#include <tamarackglade/ini/ini_section.hpp>
#include <tamarackglade/ini/manifest_fault.hpp>

#include <string_view>

namespace tamarack {

/// @brief The result of parsing an INI text.
struct ini_document
{
    std::vector<ini_section> sections; // in the order of the text
    std::vector<manifest_fault> faults; // syntax errors, in the order of the text
};

/// @brief Parses an INI text with inih. A syntax error does not stop it.
/// @param text the whole text; lines end with LF or CRLF and have at most 190 bytes when trimmed
/// @return the well-formed sections and entries with their line numbers, repeated ones too, and a
/// fault for each syntax error; these faults have no key
ini_document readIni(std::string_view text);

} // namespace tamarack
