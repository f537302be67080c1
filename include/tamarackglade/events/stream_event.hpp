// A server-sent event.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tamarack {

/// @brief An event as sent by an upstream. The view is valid until the next event_splitter::feed().
struct stream_event
{
    std::string_view text; // including the blank line that ends the event
    std::optional<std::uint64_t> id; // nullopt if absent or not a number
};

/// @return the values of the event's data fields, joined by line feeds
std::string eventData(std::string_view text);

/// @return whether the event has an id or data; comments and blank lines have neither
bool hasContent(const stream_event &event);

} // namespace tamarack
