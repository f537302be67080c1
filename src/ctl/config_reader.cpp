// The config stream as one read after another.
#include <tamarackglade/ctl/config_reader.hpp>
#include <tamarackglade/ctl/read_stream.hpp>

namespace tamarack {

namespace {

constexpr int AppendTries = 3;

} // namespace

absl::StatusOr<config_fold> readConfig(platform_client &platform)
{
    config_fold fold;
    const auto read =
        readStream(platform, std::string(ConfigStream), log_offset(1),
                   [&fold](const log_entry &entry) { fold.apply(entry.offset, entry.payload); });
    if (!read.ok())
        return read.status();
    return fold;
}

absl::StatusOr<log_offset> appendConfig(platform_client &platform,
                                        const schema::log_batch_message &batch)
{
    const std::string payload = encodeBatch(batch);
    absl::StatusOr<log_offset> stored;
    bool mayBeStored = false;
    for (int tries = 0; tries < AppendTries; ++tries) {
        stored = platform.append(std::string(ConfigStream), payload);
        if (stored.ok())
            return stored;
        mayBeStored = mayBeStored || absl::IsUnknown(stored.status());
        if (!mayBeStored)
            return stored;
    }
    return absl::UnknownError(stored.status().message());
}

} // namespace tamarack
