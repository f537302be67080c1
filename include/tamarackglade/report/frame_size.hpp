// Size of messages on the wire, for measurements without connections.
#pragma once

#include <tamarackglade/schema/wire_generated.h>

#include <cstddef>

namespace tamarack {

/// @return the bytes of the message as an encoded frame with its length prefix
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
