// Names of the order kinds.
#include <tamarackglade/orders/order_kind_name.hpp>

#include <absl/strings/str_cat.h>

namespace tamarack {

namespace {

struct named_kind
{
    schema::order_kind kind;
    std::string_view name;
};

constexpr named_kind Kinds[] = {{schema::order_kind::LoadModel, "load-model"},
                                {schema::order_kind::LoadAdapter, "load-adapter"},
                                {schema::order_kind::LoadVersion, "load-version"},
                                {schema::order_kind::ChangeRole, "change-role"}};

} // namespace

std::string orderKindName(schema::order_kind kind)
{
    for (const named_kind &entry : Kinds) {
        if (entry.kind == kind)
            return std::string(entry.name);
    }
    return {};
}

std::optional<schema::order_kind> parseOrderKind(std::string_view name)
{
    for (const named_kind &entry : Kinds) {
        if (entry.name == name)
            return entry.kind;
    }
    return std::nullopt;
}

std::string allOrderKinds()
{
    std::string names;
    for (const named_kind &entry : Kinds)
        absl::StrAppend(&names, names.empty() ? "" : ", ", std::string(entry.name));
    return names;
}

} // namespace tamarack
