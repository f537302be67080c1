// A batch job that runs concurrently with the online load.
#pragma once

#include <cstdint>
#include <string>

namespace tamarack {

/// @brief One job whose items all have the same sizes.
struct load_batch
{
    std::string name;
    std::string customer;
    std::string model = "model";
    double start = 0; // seconds after the run's start
    std::uint32_t items = 100;
    std::uint32_t promptTokens = 64;
    std::uint32_t maxTokens = 16;
};

} // namespace tamarack
