// One row of the manifest's option table: what a key takes, and its documentation.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace tamarack {

enum class option_type : std::uint8_t {
    Integer,
    Number,
    Duration,
    YesNo,
    Text,
    Name,
    List,
    Choice
};

struct option_doc
{
    std::string_view section{}; // "fleet", or "customer NAME" for a named section
    std::string_view key{};
    option_type type = option_type::Text;
    std::string_view unit{}; // empty: none
    // Inclusive bounds of numbers in their unit, of durations in seconds.
    double min = 0;
    double max = 0;
    std::string_view choices{}; // of Choice, separated by '|'
    std::string_view defaultText{}; // meaningless if required
    bool required = false;
    std::string_view help{};

    /// @return what a value must look like, for faults: "an integer from 1 to 4096"
    [[nodiscard]] std::string expected() const;
};

} // namespace tamarack
