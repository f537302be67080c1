// The bytes of frames between the system's own processes.
#pragma once

#include <tamarackglade/schema/wire_generated.h>

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace tamarack {

/// Bytes of the length that precedes a frame.
inline constexpr std::size_t FrameHeaderBytes = 4;
/// The largest frame that a peer may send, in bytes.
inline constexpr std::uint32_t MaxFrameBytes = 64 * 1024 * 1024;

/// @brief Encodes a body as a frame with its length.
std::string encodeFrame(const schema::frame_bodyUnion &body);

/// @brief Decodes the length before a frame.
/// @return the bytes that follow, or InvalidArgument if a frame can't be that long
absl::StatusOr<std::uint32_t> decodeFrameLength(std::string_view header);

/// @brief Decodes and verifies one frame without its length.
absl::StatusOr<schema::frame_message> decodeFrame(std::string_view bytes);

/// @brief Wraps a message as a frame's body.
template <class Message>
schema::frame_bodyUnion frameBody(Message message)
{
    // FlatBuffers takes any type and sends an empty frame for those that it doesn't know.
    static_assert(schema::frame_bodyUnionTraits<Message>::enum_value != schema::frame_body::NONE);
    schema::frame_bodyUnion body;
    body.Set(std::move(message));
    return body;
}

} // namespace tamarack
