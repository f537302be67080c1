// A visitor of variants made of lambdas.
#pragma once

namespace tamarack {

/// @brief Calls the one of Calls that fits the alternative; for std::visit.
template <class... Calls>
struct overloaded : Calls...
{
    using Calls::operator()...;
};
template <class... Calls>
overloaded(Calls...) -> overloaded<Calls...>;

} // namespace tamarack
