// JSON from outside, read with a bound on its nesting.
#pragma once

#include <nlohmann/json.hpp>

#include <string_view>

namespace tamarack {

/// Deepest nesting of objects and arrays that is read. Writing a value takes stack for each level,
/// and a fiber's stack is small.
inline constexpr int MaxJsonDepth = 64;

/// @brief Parses one JSON text. O(size).
/// @return the value, or a discarded one (is_discarded()) if the text is malformed or nested too
/// deep
nlohmann::json parseJson(std::string_view text);

} // namespace tamarack
