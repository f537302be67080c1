// FlatBuffers behind a 32-bit little-endian length.
#include <tamarackglade/core/flat_codec.hpp>
#include <tamarackglade/wire/frame_codec.hpp>

#include <absl/strings/str_cat.h>

#include <utility>

namespace tamarack {

std::string encodeFrame(const schema::frame_bodyUnion &body)
{
    flatbuffers::FlatBufferBuilder builder;
    const auto packed = body.Pack(builder);
    builder.Finish(schema::Createframe(builder, body.type, packed));
    std::string bytes(FrameHeaderBytes + builder.GetSize(), '\0');
    flatbuffers::WriteScalar<std::uint32_t>(bytes.data(), builder.GetSize());
    const char *source = reinterpret_cast<const char *>(builder.GetBufferPointer());
    bytes.replace(FrameHeaderBytes, builder.GetSize(), source, builder.GetSize());
    return bytes;
}

absl::StatusOr<std::uint32_t> decodeFrameLength(std::string_view header)
{
    const auto length = flatbuffers::ReadScalar<std::uint32_t>(header.data());
    if (length == 0 || length > MaxFrameBytes)
        return absl::InvalidArgumentError(absl::StrCat("a frame of ", length, " bytes"));
    return length;
}

absl::StatusOr<schema::frame_message> decodeFrame(std::string_view bytes)
{
    auto frame = decodeFlat<schema::frame>(bytes);
    if (!frame)
        return absl::InvalidArgumentError("malformed frame");
    return std::move(*frame);
}

} // namespace tamarack
