// The frames that a side process sends to entries.
#pragma once

#include <tamarackglade/schema/wire_generated.h>

#include <variant>

namespace tamarack {

using side_frame =
    std::variant<schema::call_head_message, schema::call_data_message, schema::call_end_message,
                 schema::refuse_answer_message, schema::load_report_message>;

} // namespace tamarack
