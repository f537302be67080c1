// Mutual proof of the fleet secret at the start of a connection.
#pragma once

#include <tamarackglade/runtime/byte_stream.hpp>
#include <tamarackglade/wire/wire_settings.hpp>

#include <absl/status/statusor.h>

#include <string>

namespace tamarack {

/// @brief The connecting end's part: answers the challenge and checks the acceptor's proof.
/// @param readAhead receives bytes that came after the hello; the connection's reader starts with
/// them
/// @return the acceptor's identity; PermissionDenied if it doesn't know the secret
absl::StatusOr<peer_identity> helloAsConnector(byte_stream &stream, const wire_settings &settings,
                                               std::string &readAhead);

/// @brief The accepting end's part: challenges, checks the proof, proves itself.
/// @param readAhead receives bytes that came after the hello; the connection's reader starts with
/// them
/// @return the connector's identity; PermissionDenied if it doesn't know the secret
absl::StatusOr<peer_identity> helloAsAcceptor(byte_stream &stream, const wire_settings &settings,
                                              std::string &readAhead);

} // namespace tamarack
