// What makes a response, beyond what Beast's parser checks itself.
#pragma once

namespace tamarack {

/// @return whether a response may have the status: 100 to 599 (RFC 9110, 15) without 101, which
/// only answers a request to change the protocol
bool isResponseStatus(unsigned status);

} // namespace tamarack
