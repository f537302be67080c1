// Which heads and trailers make a response, beyond what Beast's parser checks itself.
#pragma once

#include <string_view>

namespace tamarack {

/// @return whether a response may have the status: 100 to 599 (RFC 9110, 15) without 101, which
/// only answers a request to change the protocol
bool isResponseStatus(unsigned status);

/// @param section whole lines of a head or of trailers
/// @return whether one of them continues the line in front of it. A gateway may reject such a
/// response (RFC 9112, 5.2), and readers differ in which field the line belongs to.
bool hasFoldedLine(std::string_view section);

} // namespace tamarack
