// standin-platform: the platform's log service, VM list and weight store, in memory, with faults.
#include "../../support/standins_main.hpp"
#include "platform_service.hpp"

#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:0", "address to serve, 127.0.0.1:PORT; port 0 for any");
DEFINE_double(append_rate, 300, "appends a second over all streams");
DEFINE_double(append_burst, 100, "appends at once above the rate");
DEFINE_uint64(retention_records, 0, "records kept in each stream; 0 for no limit");
DEFINE_uint64(vm_lag_ms, 0, "lag of the VM list in milliseconds");
DEFINE_uint64(weight_bytes, 64 * 1024 * 1024, "size of each weight file in bytes");
DEFINE_double(weight_rate, 256e6, "bytes a second for each reader of weights");
DEFINE_uint64(weight_readers, 2, "readers of weights at once");

using namespace tamarack;

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("stand-in for the platform: log, VM list, weight store");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    standins::blockStopSignals();
    standins::platform_options options;
    options.appendRate = FLAGS_append_rate;
    options.appendBurst = FLAGS_append_burst;
    options.retentionRecords = FLAGS_retention_records;
    options.vmLag = std::chrono::milliseconds(FLAGS_vm_lag_ms);
    options.weightBytes = FLAGS_weight_bytes;
    options.weightRate = FLAGS_weight_rate;
    options.weightReaders = FLAGS_weight_readers;
    io_thread thread;
    standins::platform_service service(options);
    http_server_options limits;
    limits.bodyLimit = 8 * 1024 * 1024;
    http_server server(thread, limits, [&](http_exchange &exchange) { service.handle(exchange); });
    return standins::serveUntilSignal(server, FLAGS_listen);
}
