// Simulates a log of orders, an upstream that ignores fencing numbers and order dispatchers, in
// virtual time.
#pragma once

#include <tamarackglade/orders/order_dispatcher.hpp>
#include <tamarackglade/schema/records.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace tamarack {

/// @brief The order stream of the log.
class orders_log
{
public:
    /// @brief Appends an order.
    /// @return its fencing number
    std::uint64_t append(const std::string &vm, const std::string &id, schema::order_kind kind,
                         std::uint64_t writtenAt = 0)
    {
        schema::upstream_ordered_message record;
        record.vm = vm;
        record.order_id = id;
        record.kind = kind;
        record.argument = "argument of " + id;
        record.written_at_s = writtenAt;
        schema::log_batch_message batch;
        batch.record_id = id;
        addRecord(batch, record);
        return appendBytes(encodeBatch(batch));
    }

    std::uint64_t appendBytes(std::string payload)
    {
        m_entries.push_back({log_offset(m_entries.size() + 1), std::move(payload)});
        return m_entries.size();
    }

    [[nodiscard]] orders_read read(log_offset from, time_point requestedAt,
                                   std::uint64_t wallSeconds = 0) const
    {
        orders_read result;
        result.atEnd = true;
        result.requestedAt = requestedAt;
        result.wallSeconds = wallSeconds;
        for (const log_entry &entry : m_entries) {
            if (entry.offset >= from)
                result.entries.push_back(entry);
        }
        return result;
    }

private:
    std::vector<log_entry> m_entries;
};

/// @brief An upstream that ignores fencing numbers and does not reject stale orders.
struct unfenced_upstream
{
    std::vector<std::uint64_t> received; // fencing numbers in order of arrival
    std::map<schema::order_kind, std::string> inForce; // order ids
    std::uint64_t highestExecutedFence = 0;
    bool receivedStaleOrder = false; // an order arrived after a newer one had been executed

    void receive(const upstream_order &order, bool executed)
    {
        const std::uint64_t fence = order.fence.value();
        received.push_back(fence);
        receivedStaleOrder = receivedStaleOrder || fence < highestExecutedFence;
        if (!executed)
            return;
        inForce[order.kind] = order.id;
        highestExecutedFence = std::max(highestExecutedFence, fence);
    }

    [[nodiscard]] upstream_state_report state() const
    {
        upstream_state_report report;
        for (const auto &[kind, id] : inForce)
            report.inForce.push_back(id);
        return report;
    }
};

/// @brief A side process: its dispatcher and the action in progress.
struct order_process
{
    order_dispatcher dispatcher;
    std::optional<order_action> startedAction{};

    /// @brief Starts the next action, or completes the one in progress.
    /// @return whether there was an action
    bool step(const orders_log &log, unfenced_upstream &upstream, time_point now,
              order_outcome outcome = order_outcome::Done)
    {
        if (!startedAction) {
            startedAction = dispatcher.next(now);
            return startedAction.has_value();
        }
        const order_action action = *std::exchange(startedAction, std::nullopt);
        if (const auto *sending = std::get_if<send_order>(&action))
            send(*sending, upstream, now, outcome);
        else if (const auto *reading = std::get_if<reread_orders>(&action))
            dispatcher.onRead(log.read(reading->from, now), now);
        else
            dispatcher.onUpstreamState(upstream.state(), now, now);
        return true;
    }

    /// @brief Performs actions at one time point until there are none.
    void runUntilIdle(const orders_log &log, unfenced_upstream &upstream, time_point now)
    {
        while (step(log, upstream, now)) { }
    }

private:
    void send(const send_order &action, unfenced_upstream &upstream, time_point now,
              order_outcome outcome)
    {
        if (now > action.validUntil)
            return dispatcher.onAnswer({order_outcome::NotSent, "too late"}, now);
        upstream.receive(action.order, outcome == order_outcome::Done);
        dispatcher.onAnswer({outcome, ""}, now);
    }
};

} // namespace tamarack
