// Checks of statuses and lines that Beast's parser accepts although no response has them.
#include <tamarackglade/http/response_syntax.hpp>

#include <absl/strings/match.h>

namespace tamarack {

namespace {

constexpr unsigned MinStatus = 100;
constexpr unsigned MaxStatus = 599;
constexpr unsigned SwitchingProtocols = 101;

} // namespace

bool isResponseStatus(unsigned status)
{
    return status >= MinStatus && status <= MaxStatus && status != SwitchingProtocols;
}

bool isTransferCoding(std::string_view codings)
{
    return codings.empty() || absl::EqualsIgnoreCase({codings.data(), codings.size()}, "chunked");
}

bool hasFoldedLine(std::string_view section)
{
    return section.find("\r\n ") != std::string_view::npos
           || section.find("\r\n\t") != std::string_view::npos;
}

} // namespace tamarack
