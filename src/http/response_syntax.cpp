// Checks of what Beast's parser accepts although no response has it.
#include <tamarackglade/http/response_syntax.hpp>

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

} // namespace tamarack
