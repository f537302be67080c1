// An order to the upstream, as the log has it.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/schema/log_generated.h>

#include <string>

namespace tamarack {

struct upstream_order
{
    std::string id;
    fence_number fence; // the log offset of its record
    schema::order_kind kind = schema::order_kind::LoadModel;
    std::string argument;

    /// @return whether carrying it out reads from the weight store
    [[nodiscard]] bool readsWeights() const { return kind != schema::order_kind::ChangeRole; }
};

} // namespace tamarack
