// Errors as they are returned to callers.
#pragma once

#include <tamarackglade/calls/execution.hpp>
#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/core/time.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace tamarack {

/// @brief An error as the caller sees it.
struct call_error
{
    std::uint16_t status = 500; // HTTP
    std::string type; // class of the error, for programs
    std::string code; // identifies the error, for programs
    std::string message; // for people
    execution ran = execution::Unknown;
    std::optional<duration> retryAfter; // always set on 429 and 503

    /// @return the body: {"error": {"type", "code", "message", "request_id", "executed"}}
    [[nodiscard]] std::string toJson(const request_id &request) const;

    /// @return the Retry-After header's value in whole seconds, rounded up, at least 1
    [[nodiscard]] std::optional<std::uint64_t> retryAfterSeconds() const;
};

} // namespace tamarack
