// A class of online requests in a load profile.
#pragma once

#include <cstdint>
#include <string>

namespace tamarack {

/// @brief Sizes of prompts and answers, and the share of the requests that are of this class.
struct load_class
{
    std::string name;
    std::string model = "model";
    double share = 1; // relative to the other classes
    double streamed = 1; // share of requests that are streamed, 0 to 1
    std::uint32_t promptTokens = 64;
    std::uint32_t sharedTokens = 32; // leading tokens of the prompt, shared between requests
    std::uint32_t prefixes = 4; // different shared prefixes of each customer
    std::uint32_t maxTokens = 16; // of the answer
};

} // namespace tamarack
