// Validation of Idempotency-Keys and digests of requests.
#include <tamarackglade/calls/idempotency_key.hpp>
#include <tamarackglade/core/hash.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace tamarack {

namespace {

constexpr char FirstPrintable = ' ';
constexpr char LastPrintable = '~';

call_error invalidKeyError(std::string message)
{
    return {400,
            "invalid_request_error",
            "invalid_idempotency_key",
            std::move(message),
            execution::No,
            std::nullopt};
}

} // namespace

std::optional<call_error> validateIdempotencyKey(std::string_view key)
{
    if (key.empty())
        return invalidKeyError("the Idempotency-Key is empty");
    if (key.size() > MaxIdempotencyKeyBytes)
        return invalidKeyError(absl::StrCat("the Idempotency-Key may have at most ",
                                            MaxIdempotencyKeyBytes, " characters"));
    const bool printable = std::all_of(
        key.begin(), key.end(), [](char c) { return c >= FirstPrintable && c <= LastPrintable; });
    if (!printable)
        return invalidKeyError("the Idempotency-Key may hold printable ASCII characters only");
    return std::nullopt;
}

std::uint64_t computeRequestDigest(const std::string &method, const std::string &target,
                                   const std::string &body)
{
    // Neither a method nor a target contains a line break, so the parts are unambiguous.
    return stableHash(absl::StrCat(method, "\n", target, "\n", body));
}

} // namespace tamarack
