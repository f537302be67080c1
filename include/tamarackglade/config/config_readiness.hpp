// Whether a process may serve with the configuration that it holds.
#pragma once

#include <cstdint>
#include <string_view>

namespace tamarack {

enum class config_readiness : std::uint8_t {
    Serving,
    Asking, // neither the log nor enough peers have answered yet
    NoPeerServes, // the log can't be reached, and every peer that answers has no configuration
    RecordsLost, // the log no longer holds what this process lacks, and no peer has it
    NoManifest // the log was read, and no manifest was ever accepted
};

/// @return one sentence for readiness pages and refusals
std::string_view toSentence(config_readiness readiness);

} // namespace tamarack
