// A bounded, fair, deadline-aware queue of requests, used by the side's gate.
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
/// A request that is not expected to be served by its deadline is refused on arrival; a queued
/// request is refused when its deadline passes. When the queue is full, the newest request of the
/// customer with the largest backlog relative to its weight is refused.
class admission_queue
{
public:
    explicit admission_queue(admission_limits limits);

    /// @brief Adds a request, or refuses it or another one. O(customers).
    /// @param request its id must not be queued yet
    /// @return the refused request, which is the new one or one queued earlier; nullopt if
    /// none is refused
    std::optional<admission_refusal> enqueue(const admission_request &request, time_point now);

    /// @brief Removes the next request in fair order and updates the mean service interval.
    /// @return its id; nullopt if the queue is empty
    std::optional<std::string> pop(time_point now);

    /// @brief Removes a request that its caller cancelled.
    /// @return whether it was queued
    bool remove(const std::string &id);

    /// @brief Removes the requests whose deadline has passed, the earliest first.
    /// @return the removed requests
    std::vector<admission_refusal> expire(time_point now);

    /// @brief Removes all requests.
    /// @return their ids, in order of their deadlines
    std::vector<std::string> clear();

    /// @return the expected waiting time of a new request of the customer
    [[nodiscard]] duration estimatedWait(const customer_id &customer, std::uint32_t weight) const;

    /// @return the earliest deadline of a queued request; nullopt if the queue is empty
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
    duration m_serviceInterval; // moving average of the time between two pops while requests wait
    std::optional<time_point> m_lastServiceAt; // nullopt if the queue was empty after it
};

} // namespace tamarack
