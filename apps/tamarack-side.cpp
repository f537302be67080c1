// The side process: runs beside one upstream and is the only way to it.
#include <tamarackglade/node/run_daemon.hpp>
#include <tamarackglade/side/side_process.hpp>

int main(int argc, char **argv)
{
    using namespace tamarack;
    return runDaemon<side_process>(sideOptions(), schema::vm_role::Side, argc, argv);
}
