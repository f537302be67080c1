// Messages between gateways as bytes.
#pragma once

#include <tamarackglade/schema/peer_generated.h>

#include <string>
#include <string_view>

namespace tamarack {

/// @brief Encodes a message. Fields with their default value have a place too, so that they can be
/// set in the encoded message.
template <class Table, class Message>
std::string encodePeerMessage(const Message &message)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.ForceDefaults(true);
    builder.Finish(Table::Pack(builder, &message));
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

/// @return whether the bytes were a message
template <class Table, class Message>
bool decodePeerMessage(std::string_view bytes, Message &message)
{
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t *>(bytes.data()),
                                   bytes.size());
    if (!verifier.VerifyBuffer<Table>(nullptr))
        return false;
    flatbuffers::GetRoot<Table>(bytes.data())->UnPackTo(&message);
    return true;
}

} // namespace tamarack
