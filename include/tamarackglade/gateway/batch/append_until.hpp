// Repeated appends of idempotent records: they count once, at whatever position they are stored.
#pragma once

#include <tamarackglade/core/time.hpp>
#include <tamarackglade/store/record_store.hpp>

#include <string>
#include <vector>

namespace tamarack {

/// @brief Repeats an append until the store confirms it or the deadline passes.
/// @return Appended with the position; Unknown if any append had no answer; otherwise the result of
/// the last append
append_reply appendUntil(record_store &store, const stream_partition &partition,
                         const std::vector<std::string> &records, time_point deadline);

} // namespace tamarack
