// Services that the request handlers of an entry share.
#pragma once

#include <tamarackglade/entry/answer_budget.hpp>
#include <tamarackglade/entry/burn_service.hpp>
#include <tamarackglade/entry/call_dispatcher.hpp>
#include <tamarackglade/entry/keyed_call_service.hpp>
#include <tamarackglade/entry/limit_service.hpp>
#include <tamarackglade/metrics/metric_registry.hpp>
#include <tamarackglade/node/config_store.hpp>
#include <tamarackglade/node/shell_mutation.hpp>

#include <atomic>
#include <chrono>
#include <memory>

namespace tamarack {

/// @brief References to an entry's services; they outlive all handlers.
struct entry_context
{
    config_store &config;
    call_dispatcher &calls;
    limit_service &limits;
    metric_registry &metrics;
    burn_service &burn;
    keyed_call_service &keyed;
    std::shared_ptr<answer_budget> answerBytes; // of answers that wait for their callers
    const std::atomic<bool> &processEnds; // set shortly before: requests in progress are answered
    std::chrono::milliseconds requestTimeout{120'000};
    shell_mutation mutation = shell_mutation::None;
};

} // namespace tamarack
