// standin-engine: a model engine with continuous batching, and fault switches.
#include "../../support/standins_main.hpp"
#include "engine_service.hpp"

#include <absl/strings/str_split.h>
#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:0", "address to serve, 127.0.0.1:PORT; port 0 for any");
DEFINE_string(models, "", "models served, separated by commas; empty for any");
DEFINE_uint64(w_us, 8000, "base time W of an iteration in microseconds");
DEFINE_uint64(h_us, 650, "time H added by each sequence of an iteration in microseconds");
DEFINE_double(speedup, 1, "divides the time of iterations; 0 answers without iterations");
DEFINE_uint32(chunk, 512, "prompt tokens processed in an iteration");
DEFINE_uint32(max_slots, 128, "sequences in the batch");
DEFINE_uint64(kv_tokens, 1'000'000, "prompt and answer tokens of the batch");
DEFINE_uint32(block_tokens, 16, "tokens of a prefix cache block");
DEFINE_uint64(cache_blocks, 16'384, "blocks of the prefix cache");
DEFINE_string(fence, "check", "orders with an old fence: check refuses them, ignore accepts");
DEFINE_uint64(report_lag_ms, 0, "lag of load reports in milliseconds");
DEFINE_uint64(cache_event_lag_ms, 0, "lag of cache events in milliseconds");
DEFINE_uint64(cache_event_gap, 0, "every n-th cache event is lost; 0 for none");
DEFINE_uint64(order_ms, 0, "time to carry an order out in milliseconds");
DEFINE_string(weight_store, "", "ip:port of the weight store of ordered loads; empty for none");

using namespace tamarack;

namespace {

standins::engine_options optionsFromFlags()
{
    standins::engine_options options;
    options.immediate = FLAGS_speedup <= 0;
    options.profile.iterationBase = std::chrono::microseconds(FLAGS_w_us);
    options.profile.iterationPerSequence = std::chrono::microseconds(FLAGS_h_us);
    options.profile.speedup = options.immediate ? 1 : FLAGS_speedup;
    options.profile.chunkTokens = std::max(1U, FLAGS_chunk);
    options.profile.maxSequences = std::max(1U, FLAGS_max_slots);
    options.profile.kvTokens = FLAGS_kv_tokens;
    options.profile.blockTokens = std::max(1U, FLAGS_block_tokens);
    options.profile.cacheBlocks = FLAGS_cache_blocks;
    if (!FLAGS_models.empty())
        options.models = absl::StrSplit(FLAGS_models, ',');
    options.checkFences = FLAGS_fence != "ignore";
    options.reportLag = std::chrono::milliseconds(FLAGS_report_lag_ms);
    options.cacheEventLag = std::chrono::milliseconds(FLAGS_cache_event_lag_ms);
    options.cacheEventGap = FLAGS_cache_event_gap;
    options.orderTime = std::chrono::milliseconds(FLAGS_order_ms);
    options.weightStore = FLAGS_weight_store;
    return options;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("stand-in for a model engine");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    standins::blockStopSignals();
    io_thread thread;
    standins::engine_service service(thread, optionsFromFlags());
    http_server_options limits;
    limits.bodyLimit = 16 * 1024 * 1024;
    http_server server(thread, limits, [&](http_exchange &exchange) { service.handle(exchange); });
    standins::serveUntilSignal(server, FLAGS_listen);
}
