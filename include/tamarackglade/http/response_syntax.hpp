// Which heads and trailers make a response, beyond what Beast's parser checks itself.
#pragma once

#include <string_view>

namespace tamarack {

/// @return whether a response may have the status: 100 to 599 (RFC 9110, 15) without 101, which
/// only answers a request to change the protocol
bool isResponseStatus(unsigned status);

/// @param codings value of the field that names the body's transfer codings; empty without one
/// @return whether the body can be read: it has no coding, or chunks alone. Requests ask for no
/// other (RFC 9110, 10.1.4), and whoever gets the body couldn't tell that it is coded.
bool isTransferCoding(std::string_view codings);

/// @param section whole lines of a head or of trailers
/// @return whether one of them continues the line in front of it. A gateway may reject such a
/// response (RFC 9112, 5.2), and readers differ in which field the line belongs to.
bool hasFoldedLine(std::string_view section);

} // namespace tamarack
