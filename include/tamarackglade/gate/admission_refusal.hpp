// A request that an admission queue turned away, and when it may come back.
#pragma once

#include <tamarackglade/core/time.hpp>

#include <string>

namespace tamarack {

struct admission_refusal
{
    std::string id;
    duration retryAfter{};
};

} // namespace tamarack
