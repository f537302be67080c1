// tamarack-side with planted faults, for the end-to-end tests' failing counterparts only.
#include "mutation_names.hpp"
#include <tamarackglade/node/run_daemon.hpp>
#include <tamarackglade/side/side_process.hpp>

int main(int argc, char **argv)
{
    using namespace tamarack;
    const process_mutations mutations = mutationsFromFlags(argc, argv);
    return runDaemon<side_process>(sideOptions(), schema::vm_role::Side, argc, argv, mutations);
}
