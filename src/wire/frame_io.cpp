// Buffered reading of frames.
#include <tamarackglade/wire/detail/frame_io.hpp>
#include <tamarackglade/wire/frame_codec.hpp>

#include <absl/strings/str_cat.h>

#include <array>

namespace tamarack::detail {

namespace {

// Reads until the buffer holds size bytes.
absl::Status fillBuffer(byte_stream &stream, std::string &buffer, std::size_t size)
{
    constexpr std::size_t ReadBytes = 16 * 1024;
    while (buffer.size() < size) {
        const std::size_t before = buffer.size();
        buffer.resize(before + ReadBytes);
        boost::system::error_code error;
        const std::size_t got =
            stream.readSome(boost::asio::buffer(buffer.data() + before, ReadBytes), error);
        buffer.resize(before + got);
        if (error)
            return absl::UnavailableError(error.message());
    }
    return absl::OkStatus();
}

} // namespace

absl::StatusOr<schema::frame_message> readFrame(byte_stream &stream, std::string &buffer,
                                                std::uint32_t limit)
{
    absl::Status status = fillBuffer(stream, buffer, FrameHeaderBytes);
    if (!status.ok())
        return status;
    const auto length = decodeFrameLength(buffer);
    if (!length.ok())
        return length.status();
    if (*length > limit)
        return absl::InvalidArgumentError(absl::StrCat("a frame of ", *length, " bytes"));
    const std::size_t end = FrameHeaderBytes + *length;
    status = fillBuffer(stream, buffer, end);
    if (!status.ok())
        return status;
    // Copied, since FlatBuffers wants its bytes aligned.
    const std::string bytes = buffer.substr(FrameHeaderBytes, *length);
    buffer.erase(0, end);
    return decodeFrame(bytes);
}

absl::Status writeBytes(byte_stream &stream, std::string_view bytes)
{
    while (!bytes.empty()) {
        boost::system::error_code error;
        bytes.remove_prefix(
            stream.writeSome(boost::asio::buffer(bytes.data(), bytes.size()), error));
        if (error)
            return absl::UnavailableError(error.message());
    }
    return absl::OkStatus();
}

} // namespace tamarack::detail
