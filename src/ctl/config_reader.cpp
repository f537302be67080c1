// Folds the config stream from its first retained record to its end.
#include <tamarackglade/ctl/append_batch.hpp>
#include <tamarackglade/ctl/config_reader.hpp>
#include <tamarackglade/ctl/read_stream.hpp>

namespace tamarack {

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
    return appendBatch(platform, std::string(ConfigStream), batch);
}

} // namespace tamarack
