// A key and its value in an INI text.
#pragma once

#include <string>

namespace tamarack {

struct ini_entry
{
    unsigned line = 0; // from 1
    std::string key;
    std::string value; // without an inline comment; may be empty
};

} // namespace tamarack
