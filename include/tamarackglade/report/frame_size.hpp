// The size of frames, for measurements below the wire.
#pragma once

#include <tamarackglade/schema/wire_generated.h>

#include <cstddef>

namespace tamarack {

/// @return the bytes of a message as a frame with its length
template <class Message>
std::size_t frameSize(const Message &message)
{
    constexpr std::size_t LengthBytes = 4;
    schema::frame_message frame;
    frame.body.Set(Message(message));
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(schema::frame::Pack(builder, &frame));
    return builder.GetSize() + LengthBytes;
}

} // namespace tamarack
