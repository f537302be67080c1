// An order to the upstream, as stored in the log.
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

    /// @return whether the upstream reads from the weight store to execute the order
    [[nodiscard]] bool readsWeights() const { return kind != schema::order_kind::ChangeRole; }
};

} // namespace tamarack
