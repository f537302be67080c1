// A bounded, fair, deadline-aware queue. Used at the entry and in front of the upstream.
#pragma once

#include <tamarackglade/gate/admission_limits.hpp>
#include <tamarackglade/gate/admission_refusal.hpp>
#include <tamarackglade/gate/admission_request.hpp>
#include <tamarackglade/gate/fair_queue.hpp>

#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace tamarack {

/// @brief Queues requests in weighted deficit round robin over customers.
/// A request that can't be served by its deadline is refused when it is offered, and again as
/// soon as its deadline passes. A full queue turns away the newest request of the customer with
/// the largest backlog for its weight.
class admission_queue
{
public:
    explicit admission_queue(admission_limits limits);

    /// @brief Offers a request.
    /// @return the request that is refused for it: itself, another one, or none; O(customers)
    std::optional<admission_refusal> enqueue(const admission_request &request, time_point now);

    /// @return the id of the next request to serve
    std::optional<std::string> pop(time_point now);

    /// @brief Removes a request that its caller gave up.
    bool remove(const std::string &id);

    /// @brief Removes the requests whose deadline has passed.
    std::vector<admission_refusal> expire(time_point now);

    /// @brief Removes all requests, in the order of their deadlines.
    std::vector<std::string> clear();

    /// @return how long a new request of the customer is expected to wait
    [[nodiscard]] duration estimatedWait(const customer_id &customer, std::uint32_t weight) const;

    /// @return the earliest deadline of a queued request
    [[nodiscard]] std::optional<time_point> nextDeadline() const;

    [[nodiscard]] std::size_t size() const { return m_queue.size(); }
    [[nodiscard]] bool empty() const { return m_queue.empty(); }

private:
    void observeService(time_point now);
    [[nodiscard]] duration retryAfter(duration wait) const;
    void eraseRequest(const std::string &id);

    admission_limits m_limits;
    fair_queue<std::string> m_queue;
    // Invariant: m_requests, m_deadlines and m_queue hold the same ids.
    std::unordered_map<std::string, admission_request> m_requests;
    std::set<std::pair<time_point, std::string>> m_deadlines;
    duration m_serviceInterval; // moving average while requests wait
    std::optional<time_point> m_lastServiceAt; // unset when the queue was empty since
};

} // namespace tamarack
