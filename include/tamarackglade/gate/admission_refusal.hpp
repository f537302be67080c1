// A request that an admission queue refused, and how long its caller should wait to retry.
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
