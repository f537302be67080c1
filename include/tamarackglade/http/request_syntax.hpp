// Which texts may stand in a request's line and headers, and the request as bytes.
#pragma once

#include <tamarackglade/http/http_client_request.hpp>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace tamarack {

/// @return whether the text is a method or the name of a header (RFC 9110, token)
bool isToken(std::string_view text);

/// @return whether the text may be a header's value: no control character but a tab. Readers drop
/// blanks at its ends.
bool isFieldValue(std::string_view text);

/// @return whether the text may be a request's target: not empty, no blank and no control character
bool isTarget(std::string_view text);

/// @return the text with each byte but letters, digits, '-', '.', '_' and '~' percent-encoded
std::string percentEncoded(std::string_view text);

/// @brief Writes a request as HTTP/1.1, with a Content-Length if it has a body or is a POST or PUT.
/// @param defaultHost of the Host header, if the request names none
/// @return InvalidArgument if a part of it could be read as something else, or as another request
absl::StatusOr<std::string> writeRequest(const http_client_request &request,
                                         std::string_view defaultHost);

} // namespace tamarack
