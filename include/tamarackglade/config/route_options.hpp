// Section [route NAME] of the manifest: a path prefix that plain services answer.
#pragma once

#include <tamarackglade/core/ids.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace tamarack {

struct route_options
{
    std::string name;
    std::string prefix; // begins with '/'; no other route's prefix contains it
    group_id group; // of kind Service
    bool open = false; // callers need no key
    std::vector<std::string> repeatableMethods; // idempotent, so they may be retried

    /// @return whether a path is under the prefix: equal, or followed by '/' or '?'
    [[nodiscard]] bool covers(std::string_view path) const;

    [[nodiscard]] bool isRepeatable(std::string_view method) const;
};

} // namespace tamarack
