// The fingerprint of a request as a field of log lines.
#pragma once

#include <tamarackglade/quarantine/request_fingerprint.hpp>

#include <absl/strings/str_cat.h>

#include <string>

namespace tamarack {

/// @return 32 hexadecimal digits
inline std::string textOf(const request_fingerprint &fingerprint)
{
    return absl::StrCat(absl::Hex(fingerprint.customer, absl::kZeroPad16),
                        absl::Hex(fingerprint.content, absl::kZeroPad16));
}

} // namespace tamarack
