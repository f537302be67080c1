// The entry process: serves callers on an entry VM.
#include <tamarackglade/entry/entry_process.hpp>
#include <tamarackglade/node/run_daemon.hpp>

int main(int argc, char **argv)
{
    using namespace tamarack;
    return runDaemon<entry_process>(entryOptions(), schema::vm_role::Entry, argc, argv);
}
