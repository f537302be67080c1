// The origins of streams that this gateway keeps for itself and others.
#pragma once

#include <tamarackglade/resumption/stream_key.hpp>
#include <tamarackglade/resumption/stream_origin.hpp>

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>

namespace tamarack {

/// @brief Bounds of an origin_table.
struct origin_table_options
{
    duration lifetime = std::chrono::minutes(2); // longer than callers take a stream up again
    std::size_t maxOrigins = 32'768; // then the oldest ones are dropped
};

/// @brief Origins by stream, for a limited time.
class origin_table
{
public:
    explicit origin_table(origin_table_options options = {}) : m_options(options) { }

    /// @brief Keeps an origin. Of two for one stream, that of the later first event counts.
    void put(stream_key stream, const stream_origin &origin, time_point now);
    /// @return the origin, or nullopt if the stream is unknown
    [[nodiscard]] std::optional<stream_origin> find(stream_key stream, time_point now);
    [[nodiscard]] std::size_t size() const { return m_origins.size(); }

private:
    struct arrival
    {
        stream_key stream;
        time_point at;
    };

    void dropOld(time_point now);

    const origin_table_options m_options;
    std::unordered_map<stream_key, stream_origin> m_origins;
    std::deque<arrival> m_arrivals; // one for each of m_origins, oldest first
};

} // namespace tamarack
