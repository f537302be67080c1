// Action: answer whoever sent an order.
#pragma once

#include <tamarackglade/gate/connection_id.hpp>
#include <tamarackglade/schema/wire_generated.h>

namespace tamarack {

struct answer_order
{
    connection_id connection;
    schema::order_answer_message answer;
};

} // namespace tamarack
