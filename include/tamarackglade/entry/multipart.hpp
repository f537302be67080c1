// Parser of multipart/form-data bodies.
#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

namespace tamarack {

/// @brief One part of a form.
struct form_part
{
    std::string name;
    std::string filename; // "" if the part is not a file
    std::string_view content; // a view into the body
};

/// @brief Splits a body by its boundary (RFC 7578).
/// @param contentType the request's Content-Type, which contains the boundary
/// @param body must outlive the parts
/// @return the parts, or InvalidArgument
absl::StatusOr<std::vector<form_part>> parseMultipart(std::string_view contentType,
                                                      std::string_view body);

} // namespace tamarack
