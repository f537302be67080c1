// References to the components that the gateway's request handlers share.
#pragma once

#include <tamarackglade/gateway/exchange/leaving_exchange.hpp>
#include <tamarackglade/gateway/exchange/origin_exchange.hpp>
#include <tamarackglade/gateway/exchange/quarantine_exchange.hpp>
#include <tamarackglade/gateway/exchange/rate_exchange.hpp>
#include <tamarackglade/gateway/process/config_watch.hpp>
#include <tamarackglade/gateway/process/gateway_options.hpp>
#include <tamarackglade/gateway/process/open_calls.hpp>
#include <tamarackglade/gateway/process/platform_protocol.hpp>
#include <tamarackglade/gateway/relay/blocking_slot_queue.hpp>
#include <tamarackglade/gateway/upstream/upstream_caller.hpp>
#include <tamarackglade/gateway/upstream/upstream_watch.hpp>
#include <tamarackglade/metrics/metric_registry.hpp>
#include <tamarackglade/placement/slot_allocator.hpp>
#include <tamarackglade/placement/upstream_directory.hpp>
#include <tamarackglade/rates/shared_rates.hpp>

namespace tamarack {

/// @brief Components of the gateway. All of them live as long as the process.
struct gateway_context
{
    const gateway_options &options;
    const platform_protocol &protocol;
    config_watch &config;
    upstream_directory &directory;
    upstream_watch &upstreams;
    slot_allocator &allocator;
    blocking_slot_queue &blockingQueue;
    upstream_caller &caller;
    peer_table &peerTable;
    shared_rates<customer_id> &rates;
    rate_exchange &rateExchange;
    prompt_quarantine &quarantine;
    request_quarantine &requestQuarantine;
    quarantine_exchange &quarantineExchange;
    leaving_exchange &leavingExchange;
    origin_exchange &origins;
    open_calls &openCalls;
    metric_registry &metrics;
};

} // namespace tamarack
