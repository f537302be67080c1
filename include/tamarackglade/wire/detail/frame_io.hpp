// Reading and writing single frames on a byte stream.
#pragma once

#include <tamarackglade/runtime/byte_stream.hpp>
#include <tamarackglade/schema/wire_generated.h>

#include <absl/status/statusor.h>

#include <string>

namespace tamarack::detail {

/// @brief Reads one frame. buffer holds bytes read ahead between calls.
/// @param limit the largest accepted length in bytes
/// @return the frame; Unavailable if the stream failed, InvalidArgument if it is malformed
absl::StatusOr<schema::frame_message> readFrame(byte_stream &stream, std::string &buffer,
                                                std::uint32_t limit);

/// @brief Writes all bytes.
/// @return Unavailable if the stream failed
absl::Status writeBytes(byte_stream &stream, std::string_view bytes);

} // namespace tamarack::detail
