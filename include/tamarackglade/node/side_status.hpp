// A side as an entry knows it.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/schema/wire_generated.h>

namespace tamarack {

/// @brief The side's latest load report.
struct side_status
{
    vm_id vm;
    schema::load_report_message report;
};

} // namespace tamarack
