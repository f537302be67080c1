// The gateway's settings as typed values.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/core/time.hpp>
#include <tamarackglade/settings/setting_values.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace tamarack {

/// @brief Names, addresses and limits of one gateway. docs/settings.md describes each.
struct gateway_options
{
    vm_id vm;
    zone_id zone;
    std::string storeAddress;
    std::string callerAddress;
    std::string readinessAddress;
    std::string peerAddress; // ip:port that receives the datagrams of other gateways
    std::string adminAddress;
    duration keyFreshness{};
    duration batchFreshness{};
    duration batchKeepTime{};
    duration upstreamReturnGrace{};
    std::chrono::milliseconds drainNotice{};
    std::chrono::milliseconds drainLimit{};
    std::chrono::milliseconds stopGrace{};
    std::chrono::milliseconds silenceLimit{};
    std::chrono::milliseconds firstEventReserve{};
    std::uint32_t batchPartitions = 1;
    std::size_t maxDirectFleet = 1; // gateways
    std::size_t memoryLimit = 0; // bytes; 0 for that of the machine
    std::size_t descriptorLimit = 0; // 0 for that of the process
};

/// @return the options from validated settings
gateway_options gatewayOptionsFrom(const setting_values &settings);

/// @brief Bytes that may be held for each purpose. Stacks, copies and gaps in the heap take the
/// rest of the memory.
struct memory_shares
{
    std::size_t callers = 0; // requests and answers
    std::size_t responses = 0; // what upstreams send, while it isn't whole
    std::size_t texts = 0; // of unfinished batch items
    std::size_t storeAnswers = 0; // what the store sends, while it is read
};

/// @return the shares of memoryLimit, or of the machine's memory if that isn't set
memory_shares memorySharesOf(const gateway_options &options);

} // namespace tamarack
