// Every request that the engine began, and how it ended.
#pragma once

#include "engine_request.hpp"
#include <tamarackglade/http/http_request.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace tamarack::standins {

/// @brief How an execution stands.
enum class execution_state {
    Running,
    Finished, // the whole answer was written
    Cancelled, // the caller closed its connection
    Cut, // the engine cut the connection
    Failed, // answered with an error
};

/// @brief One execution.
struct engine_execution
{
    std::uint64_t number = 0; // from 1, in order of start
    std::string requestId; // x-request-id, may be empty
    std::string model;
    std::string promptDigest; // hexadecimal
    std::uint32_t firstToken = 0;
    std::uint32_t maxTokens = 0;
    std::uint32_t tokensWritten = 0;
    execution_state state = execution_state::Running;
    std::vector<std::pair<std::string, std::string>> headers; // as received
};

/// @brief Keeps the last executions and counts all.
class execution_log
{
public:
    /// @return the new execution's number
    std::uint64_t begin(const http_request &http, const engine_request &request);
    void addTokens(std::uint64_t number, std::uint32_t tokens);
    void end(std::uint64_t number, execution_state state);

    /// @return counts and the kept executions from a number on
    [[nodiscard]] nlohmann::json show(std::uint64_t from) const;

private:
    engine_execution *find(std::uint64_t number);

    // Invariant: consecutive numbers, the last is m_begun.
    std::deque<engine_execution> m_kept;
    std::uint64_t m_begun = 0;
    std::uint64_t m_finished = 0;
    std::uint64_t m_tokens = 0;
};

} // namespace tamarack::standins
