// The status of a side that an entry is connected to.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/schema/wire_generated.h>

namespace tamarack {

/// @brief A side's VM and its latest load report.
struct side_status
{
    vm_id vm;
    schema::load_report_message report;
};

} // namespace tamarack
