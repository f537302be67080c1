// Converts validated settings to typed values.
#include <tamarackglade/gateway/process/gateway_options.hpp>
#include <tamarackglade/runtime/machine_limits.hpp>

namespace tamarack {

gateway_options gatewayOptionsFrom(const setting_values &settings)
{
    gateway_options options;
    options.vm = vm_id(settings.text("vm"));
    options.zone = zone_id(settings.text("zone"));
    options.storeAddress = settings.text("store");
    options.callerAddress = settings.text("listen");
    options.readinessAddress = settings.text("readiness-listen");
    options.peerAddress = settings.text("peer-listen");
    options.adminAddress = settings.text("admin-listen");
    options.keyFreshness = settings.milliseconds("key-freshness");
    options.batchFreshness = settings.milliseconds("batch-freshness");
    options.batchKeepTime = settings.milliseconds("batch-keep-time");
    options.upstreamReturnGrace = settings.milliseconds("upstream-return-grace");
    options.drainNotice = settings.milliseconds("drain-notice");
    options.drainLimit = settings.milliseconds("drain-limit");
    options.stopGrace = settings.seconds("stop-grace");
    options.silenceLimit = settings.milliseconds("silence-limit");
    options.firstEventReserve = settings.milliseconds("first-event-reserve");
    options.batchPartitions = static_cast<std::uint32_t>(settings.integer("batch-partitions"));
    constexpr std::size_t MegabyteBytes = 1024 * 1024;
    options.memoryLimit =
        static_cast<std::size_t>(settings.integer("memory-limit")) * MegabyteBytes;
    options.descriptorLimit = static_cast<std::size_t>(settings.integer("descriptor-limit"));
    options.maxDirectFleet = static_cast<std::size_t>(settings.integer("direct-fleet"));
    return options;
}

memory_shares memorySharesOf(const gateway_options &options)
{
    const std::size_t memory =
        options.memoryLimit > 0 ? options.memoryLimit : machineLimits().memoryBytes;
    memory_shares shares;
    shares.callers = memory / 4;
    shares.responses = memory / 8;
    shares.texts = memory / 8;
    shares.storeAnswers = memory / 8;
    return shares;
}

} // namespace tamarack
