// The HTTP face of the plain stand-in: echoes any request and remembers what it executed.
#pragma once

#include "../../support/standins_freeze.hpp"
#include "plain_execution.hpp"
#include <tamarackglade/http/http_exchange.hpp>

#include <chrono>
#include <cstdint>
#include <deque>

namespace tamarack::standins {

/// @brief What POST /fault sets.
struct plain_faults
{
    std::chrono::milliseconds delay{0}; // before each execution
    std::uint64_t failNext = 0; // executions that answer 500
    std::uint64_t cutAfterExecute = 0; // executions whose connection is cut without an answer
    bool refuse = false; // answer 503 without executing
};

/// @brief Serves any method and path. Used on one thread, by many fibers.
class plain_service
{
public:
    /// @brief Answers one request.
    void handle(http_exchange &exchange);

private:
    void execute(http_exchange &exchange);
    std::uint64_t recordExecution(const http_request &request);
    void finish(std::uint64_t number, const char *outcome);
    void showExecutions(http_exchange &exchange);
    void setFaults(http_exchange &exchange);

    plain_faults m_faults;
    freeze_gate m_freeze;
    // Invariant: holds the last executions, in order of number, up to MaxKept.
    std::deque<plain_execution> m_executions;
    std::uint64_t m_executed = 0;
};

} // namespace tamarack::standins
