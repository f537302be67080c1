// Section [model NAME] of the manifest.
#pragma once

#include <tamarackglade/core/ids.hpp>

#include <cstdint>
#include <string>

namespace tamarack {

struct model_options
{
    model_id id;
    group_id group; // of kind Engine
    std::string version;
    std::string adapter; // empty: none
    std::uint32_t maxTokens = 0; // generated tokens of one answer
};

} // namespace tamarack
