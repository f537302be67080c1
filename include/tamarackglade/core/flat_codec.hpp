// FlatBuffers tables as bytes, by their native objects.
#pragma once

#include <flatbuffers/flatbuffers.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tamarack {

/// Whether fields with their default value have a place in the bytes. Only those that have one can
/// be set in the encoded message.
enum class default_fields { Omitted, Written };

/// @brief Encodes a native object as a buffer whose root is the table.
/// @param identifier four characters that tell the buffer from others; null for none
template <class Table>
std::string encodeFlat(const typename Table::NativeTableType &message,
                       default_fields defaults = default_fields::Omitted,
                       const char *identifier = nullptr)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.ForceDefaults(defaults == default_fields::Written);
    builder.Finish(Table::Pack(builder, &message), identifier);
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

/// @brief Verifies and decodes a buffer.
/// @param identifier that the buffer must have; null to accept any
/// @return the native object, or nullopt if the bytes hold no such table
template <class Table>
std::optional<typename Table::NativeTableType> decodeFlat(std::string_view bytes,
                                                          const char *identifier = nullptr)
{
    const auto *data = reinterpret_cast<const std::uint8_t *>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (!verifier.VerifyBuffer<Table>(identifier))
        return std::nullopt;
    typename Table::NativeTableType message;
    flatbuffers::GetRoot<Table>(data)->UnPackTo(&message);
    return message;
}

} // namespace tamarack
