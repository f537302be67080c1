// The faults that can be planted at a gateway's interfaces to the platform.
#pragma once

#include <optional>
#include <string_view>

namespace tamarack {

enum class gateway_mutation {
    None,
    ClaimNotRun, // each failed answer counts as not run
    AnyAnswer, // answers count whatever request they belong to and whoever signed them
    AnyInstance, // another upstream at the address may run the request
    IgnoreLeaving, // an upstream that leaves gets new work
    IgnoreLeavingHeader, // so does one that says so in its responses alone
    IgnoreEvacuations, // so does one of an evacuated zone
    IgnoreWarmUps, // an upstream that warms up gets any number of requests
    KeepCustomerHeader, // the customer's name isn't set
    ForwardKey, // the caller's key is passed on
    AcknowledgeUnstored, // an append without an answer counts as done
    RefuseUnknown, // an append without an answer counts as refused
    AlwaysCurrent, // a failed read counts as one that found nothing new
    IgnoreCondition, // conditional appends go in at any position
    AnyText, // results without text get one
    ForgetEnds // the end of a job isn't stored
};

/// @return the mutation of this name, or nullopt
std::optional<gateway_mutation> gatewayMutationFrom(std::string_view name);

} // namespace tamarack
