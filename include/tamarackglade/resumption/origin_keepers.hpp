// Chooses the gateways that keep the origin of a stream.
#pragma once

#include <tamarackglade/rates/peer_table.hpp>
#include <tamarackglade/resumption/stream_key.hpp>

#include <cstddef>
#include <vector>

namespace tamarack {

/// @brief Chooses by rendezvous hashing, so that gateways with nearly the same members choose
/// nearly the same ones; the first are the same for any count.
/// @return at most count of the members, most suitable first
std::vector<gateway_member> originKeepers(stream_key stream, std::vector<gateway_member> members,
                                          std::size_t count);

} // namespace tamarack
