// Implements the read of a stream in parts of limited size.
#include <tamarackglade/ctl/read_stream.hpp>

#include <absl/strings/numbers.h>

namespace tamarack {

namespace {

constexpr std::size_t MaxRecordsPerRead = 500;

} // namespace

absl::StatusOr<log_offset> readStream(platform_client &platform, const std::string &stream,
                                      log_offset from,
                                      const std::function<void(const log_entry &)> &visit)
{
    log_offset next = from;
    for (;;) {
        const auto read =
            platform.read(stream, next, MaxRecordsPerRead, std::chrono::milliseconds(0));
        std::uint64_t firstRetained = 0;
        if (absl::IsOutOfRange(read.status())
            && absl::SimpleAtoi(read.status().message(), &firstRetained)) {
            next = log_offset(firstRetained);
            continue;
        }
        if (!read.ok())
            return read.status();
        for (const log_entry &entry : read->entries)
            visit(entry);
        if (!read->entries.empty())
            next = log_offset(read->entries.back().offset.value() + 1);
        if (next >= read->next)
            return read->firstRetained;
    }
}

} // namespace tamarack
