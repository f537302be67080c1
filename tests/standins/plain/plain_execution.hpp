// One request that the plain stand-in executed.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace tamarack::standins {

/// @brief What is kept about an execution.
struct plain_execution
{
    std::uint64_t number = 0; // from 1, in order of execution
    std::string method;
    std::string target;
    std::string bodyDigest; // hexadecimal
    std::string requestId; // x-request-id, may be empty
    std::string idempotencyKey; // may be empty
    nlohmann::json headers; // names and values as received
    std::string outcome; // "answered", "failed", "cut" or "running"
};

/// @return an execution as GET /executions shows it
inline nlohmann::json toJson(const plain_execution &execution)
{
    return {{"number", execution.number},        {"method", execution.method},
            {"path", execution.target},          {"body_digest", execution.bodyDigest},
            {"request_id", execution.requestId}, {"idempotency_key", execution.idempotencyKey},
            {"headers", execution.headers},      {"outcome", execution.outcome}};
}

} // namespace tamarack::standins
