// Mutations by the names that the end-to-end tests give.
#pragma once

#include <tamarackglade/node/process_mutations.hpp>

#include <optional>
#include <string>

namespace tamarack {

/// @brief Reads names such as "ClaimNotRun,ForwardKey", of at most one mutation of each kind.
/// @return the mutations, or nothing if a name is unknown or a kind comes twice
std::optional<process_mutations> parseMutations(const std::string &names);

/// @brief Reads the flag --mutations, which mutants have besides the daemons' own.
/// @return the mutations; ends the program with 2 if they are malformed
process_mutations mutationsFromFlags(int argc, char **argv);

} // namespace tamarack
