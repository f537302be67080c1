// tamarack-entry with planted faults, for the end-to-end tests' failing counterparts only.
#include "mutation_names.hpp"
#include <tamarackglade/entry/entry_process.hpp>
#include <tamarackglade/node/run_daemon.hpp>

int main(int argc, char **argv)
{
    using namespace tamarack;
    const process_mutations mutations = mutationsFromFlags(argc, argv);
    return runDaemon<entry_process>(entryOptions(), schema::vm_role::Entry, argc, argv, mutations);
}
