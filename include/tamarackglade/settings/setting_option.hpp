// One process setting as the option tables describe it.
#pragma once

#include <cstdint>
#include <string_view>

namespace tamarack {

/// How a setting's text is read.
enum class setting_type {
    Text,
    Integer,
    Milliseconds,
    Seconds, // may have a fraction
    Flag, // yes or no
    Choice, // one of the option's choices
    Address, // ip:port
    AddressList, // ip:port, separated by commas
};

/// @brief A row of an option table; the reference page is made from these rows.
struct setting_option
{
    std::string_view name; // as in the INI file; as a flag, with '_' for '-'
    setting_type type;
    std::string_view unit; // "" if none
    std::int64_t minimum; // of Integer, Milliseconds and Seconds
    std::int64_t maximum;
    std::string_view defaultValue;
    bool required;
    std::string_view help;
    std::string_view choices{}; // of Choice, separated by '|'
    std::string_view needs{}; // another setting that has to have a value if this one has
};

} // namespace tamarack
