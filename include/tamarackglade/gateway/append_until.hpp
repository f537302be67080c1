// Appends that count only once, whatever their position.
#pragma once

#include <tamarackglade/core/time.hpp>
#include <tamarackglade/store/record_store.hpp>

#include <string>
#include <vector>

namespace tamarack {

/// @brief Appends records until the store says that it has them or the deadline passes.
/// @return Appended with the position, Unknown if an append had no answer, else the last refusal
append_reply appendUntil(record_store &store, const stream_partition &partition,
                         const std::vector<std::string> &records, time_point deadline);

} // namespace tamarack
