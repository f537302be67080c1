// A section of an INI text, with line numbers.
#pragma once

#include <tamarackglade/ini/ini_entry.hpp>

#include <vector>

namespace tamarack {

struct ini_section
{
    unsigned line = 0; // of the header, from 1
    std::string header; // the text between the brackets, such as "customer a"
    std::vector<ini_entry> entries;
};

} // namespace tamarack
