// Cache of batches of a partition's stream, to read the inputs and results stored in them.
#pragma once

#include <tamarackglade/jobs/record_reference.hpp>
#include <tamarackglade/platform/platform_client.hpp>
#include <tamarackglade/schema/records.hpp>

#include <absl/status/statusor.h>

#include <list>
#include <memory>
#include <string>

namespace tamarack {

/// @brief Fetches batches by offset and caches the most recently used. Used on the control thread
/// only.
class log_batch_cache
{
public:
    using shared_batch = std::shared_ptr<const schema::log_batch_message>;

    log_batch_cache(platform_client &platform, std::string stream);

    /// @return the batch at an offset; Unavailable if the log can't be read, NotFound if the
    /// record is no longer retained
    absl::StatusOr<shared_batch> fetch(log_offset offset);

    /// @brief Inserts a batch that was already read.
    void insert(log_offset offset, shared_batch batch);

private:
    struct cached_batch
    {
        log_offset offset;
        shared_batch batch;
    };

    platform_client &m_platform;
    std::string m_stream;
    std::list<cached_batch> m_cache; // most recently used first
};

} // namespace tamarack
