// Faults that test programs inject into the parts of a daemon; the shipped programs inject none.
#pragma once

#include <tamarackglade/calls/call_mutation.hpp>
#include <tamarackglade/config/config_mutation.hpp>
#include <tamarackglade/gate/gate_mutation.hpp>
#include <tamarackglade/jobs/jobs_mutation.hpp>
#include <tamarackglade/limits/limit_mutation.hpp>
#include <tamarackglade/node/shell_mutation.hpp>
#include <tamarackglade/routing/routing_mutation.hpp>

namespace tamarack {

struct process_mutations
{
    call_mutation calls = call_mutation::None;
    config_mutation config = config_mutation::None;
    gate_mutation gate = gate_mutation::None;
    jobs_mutation jobs = jobs_mutation::None;
    limit_mutation limits = limit_mutation::None;
    routing_mutation routing = routing_mutation::None;
    shell_mutation shell = shell_mutation::None;
};

} // namespace tamarack
