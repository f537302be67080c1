// standin-plain: a plain service that echoes requests and remembers each execution.
#include "../../support/standins_main.hpp"
#include "plain_service.hpp"

#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:0", "address to serve, 127.0.0.1:PORT; port 0 for any");

using namespace tamarack;

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("stand-in for a plain service");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    standins::blockStopSignals();
    io_thread thread;
    standins::plain_service service;
    http_server server(thread, {}, [&](http_exchange &exchange) { service.handle(exchange); });
    return standins::serveUntilSignal(server, FLAGS_listen);
}
