// Access to headers and query parameters.
#include <tamarackglade/http/http_request.hpp>

#include <absl/strings/str_split.h>

namespace tamarack {

std::string_view http_request::header(std::string_view name) const
{
    const auto found = headers.find({name.data(), name.size()});
    if (found == headers.end())
        return {};
    return {found->value().data(), found->value().size()};
}

std::string http_request::queryParameter(std::string_view name) const
{
    for (const absl::string_view pair : absl::StrSplit(query, '&')) {
        const std::pair<absl::string_view, absl::string_view> parts =
            absl::StrSplit(pair, absl::MaxSplits('=', 1));
        if (parts.first == absl::string_view(name.data(), name.size()))
            return std::string(parts.second);
    }
    return {};
}

} // namespace tamarack
