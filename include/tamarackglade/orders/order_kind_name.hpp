// Names of the order kinds.
#pragma once

#include <tamarackglade/schema/log_generated.h>

#include <optional>
#include <string>
#include <string_view>

namespace tamarack {

/// @return the external name, as operators use it, such as "load-model"; empty if the kind is
/// unknown
std::string orderKindName(schema::order_kind kind);

/// @return the kind with this name; nullopt if there is none
std::optional<schema::order_kind> parseOrderKind(std::string_view name);

/// @return all names, separated by commas
std::string allOrderKinds();

} // namespace tamarack
