// One row for each mutation that some end-to-end test is shown to notice.
#include "mutation_names.hpp"

#include <absl/strings/str_split.h>
#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>

DEFINE_string(mutations, "", "names of planted faults, separated by commas");

namespace tamarack {

namespace {

constexpr int ExitUsage = 2;

/// @brief A name, and what it plants unless a fault of its kind is planted already.
struct named_mutation
{
    std::string_view name;
    bool (*plant)(process_mutations &mutations);
};

template <auto Member, auto Value>
bool plant(process_mutations &mutations)
{
    auto &place = mutations.*Member;
    const bool isFree = place == decltype(Value)::None;
    place = Value;
    return isFree;
}

using all = process_mutations;

constexpr named_mutation Mutations[] = {
    {"ClaimNotRun", plant<&all::calls, call_mutation::ClaimNotRun>},
    {"RetryOnUnknown", plant<&all::calls, call_mutation::RetryOnUnknown>},
    {"IgnoreBase", plant<&all::config, config_mutation::IgnoreBase>},
    {"BatchBeforeOnline", plant<&all::gate, gate_mutation::BatchBeforeOnline>},
    {"CancelIgnored", plant<&all::jobs, jobs_mutation::CancelIgnored>},
    {"AnyResultWins", plant<&all::jobs, jobs_mutation::AnyResultWins>},
    {"NewHomeStartsFull", plant<&all::limits, limit_mutation::NewHomeStartsFull>},
    {"RouterIgnoresLeaving", plant<&all::routing, routing_mutation::IgnoreLeaving>},
    {"IgnoreCustomer", plant<&all::shell, shell_mutation::IgnoreCustomer>},
    {"AcceptAnyKey", plant<&all::shell, shell_mutation::AcceptAnyKey>},
    {"ForwardKey", plant<&all::shell, shell_mutation::ForwardKey>},
    {"EndBrokenStream", plant<&all::shell, shell_mutation::EndBrokenStream>},
    {"KeepWithdrawnStream", plant<&all::shell, shell_mutation::KeepWithdrawnStream>},
    {"StopAtOnce", plant<&all::shell, shell_mutation::StopAtOnce>},
    {"AcknowledgeUnlogged", plant<&all::shell, shell_mutation::AcknowledgeUnlogged>},
    {"RunTwice", plant<&all::shell, shell_mutation::RunTwice>},
    {"IgnoreDrain", plant<&all::shell, shell_mutation::IgnoreDrain>},
    {"AdmitAll", plant<&all::shell, shell_mutation::AdmitAll>},
};

bool plantByName(std::string_view name, process_mutations &mutations)
{
    for (const named_mutation &known : Mutations) {
        if (known.name == name)
            return known.plant(mutations);
    }
    return false;
}

} // namespace

std::optional<process_mutations> parseMutations(const std::string &names)
{
    process_mutations mutations;
    for (const absl::string_view name : absl::StrSplit(names, ',', absl::SkipEmpty())) {
        if (!plantByName({name.data(), name.size()}, mutations))
            return std::nullopt;
    }
    return mutations;
}

process_mutations mutationsFromFlags(int argc, char **argv)
{
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, false);
    const auto mutations = parseMutations(FLAGS_mutations);
    if (mutations)
        return *mutations;
    std::cerr << "--mutations: an unknown name or a kind twice in '" << FLAGS_mutations << "'\n";
    std::exit(ExitUsage);
}

} // namespace tamarack
