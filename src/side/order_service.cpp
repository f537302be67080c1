// One fiber performs the dispatcher's actions one after the other; the log tailer runs in another.
#include <tamarackglade/logging/log_event.hpp>
#include <tamarackglade/orders/order_kind_name.hpp>
#include <tamarackglade/runtime/steady_now.hpp>
#include <tamarackglade/side/order_messages.hpp>
#include <tamarackglade/side/order_service.hpp>

#include <absl/strings/numbers.h>
#include <boost/fiber/operations.hpp>

#include <algorithm>

namespace tamarack {

namespace {

constexpr std::chrono::milliseconds IdleInterval{20};
constexpr std::chrono::milliseconds StateTimeout{5'000};
// The upstream may still read an unanswered order while the connection is open, and no other order
// may be sent meanwhile.
constexpr std::chrono::hours OrderTimeout{1};
constexpr std::size_t MaxReadRecords = 500;
constexpr std::size_t MaxOrderBytes = 1024 * 1024; // of a response about orders
constexpr duration InitialLoadInterval = std::chrono::seconds(10); // until a manifest sets it

} // namespace

order_service::order_service(io_thread &thread, platform_client &platform, metric_registry &metrics,
                             const vm_id &self, const std::string &upstreamAddress,
                             bool acceptsOrders)
    : m_thread(thread), m_platform(platform), m_metrics(metrics),
      m_upstream(thread.io(), upstreamAddress),
      m_dispatcher(self, weight_store_limiter(InitialLoadInterval, 1))
{
    if (!acceptsOrders)
        m_dispatcher.rejectAllOrders();
}

void order_service::onConfig(const config_state &state)
{
    if (!state.inForce)
        return;
    const fleet_options &fleet = state.inForce->fleet;
    m_dispatcher.setLoadRate(fleet.loadInterval, static_cast<int>(fleet.loadBurst));
    if (!m_tailer)
        start();
}

void order_service::start()
{
    tail_handler handler;
    handler.onRead = [this](const log_read &read, bool caughtUp) { onRead(read, caughtUp); };
    handler.onGap = [](log_offset) {};
    handler.onReachable = [](bool) {};
    m_tailer = std::make_unique<log_tailer>(m_thread, m_platform, std::string(OrdersStream),
                                            log_offset(1), std::move(handler));
    m_thread.spawn([this] { workLoop(); });
}

void order_service::workLoop()
{
    for (;;) {
        if (const auto action = m_dispatcher.next(steadyNow()))
            perform(*action);
        else
            boost::this_fiber::sleep_for(IdleInterval);
    }
}

void order_service::perform(const order_action &action)
{
    if (const auto *orderToSend = std::get_if<send_order>(&action))
        sendOrder(*orderToSend);
    else if (const auto *reread = std::get_if<reread_orders>(&action))
        rereadOrders(reread->from);
    else
        queryUpstreamState();
}

void order_service::queryUpstreamState()
{
    const time_point requestedAt = steadyNow();
    http_client_request request;
    request.target = "/orders";
    m_upstream.setTimeout(StateTimeout);
    const auto report = readUpstreamState(m_upstream.fetch(request, MaxOrderBytes));
    if (report.ok())
        m_dispatcher.onUpstreamState(*report, requestedAt, steadyNow());
    else
        m_dispatcher.onUpstreamStateFailed(std::string(report.status().message()), steadyNow());
}

void order_service::rereadOrders(log_offset from)
{
    auto read = m_platform.read(std::string(OrdersStream), from, MaxReadRecords,
                                std::chrono::milliseconds(0));
    std::uint64_t firstRetained = 0;
    if (absl::IsOutOfRange(read.status())
        && absl::SimpleAtoi(read.status().message(), &firstRetained))
        read = m_platform.read(std::string(OrdersStream), log_offset(firstRetained), MaxReadRecords,
                               std::chrono::milliseconds(0));
    if (!read.ok())
        return m_dispatcher.onReadFailed(steadyNow());
    const log_offset end =
        read->entries.empty() ? from : log_offset(read->entries.back().offset.value() + 1);
    onRead(*read, end >= read->next);
}

void order_service::sendOrder(const send_order &action)
{
    const upstream_order &order = action.order;
    http_client_request request;
    request.method = "POST";
    request.target = "/orders";
    request.contentType = "application/json";
    request.body = orderJson(order);
    m_upstream.setTimeout(OrderTimeout);
    if (steadyNow() > action.validUntil)
        return m_dispatcher.onAnswer(
            {order_outcome::NotSent,
             "not sent: the upstream's state has to be queried again first"},
            steadyNow());
    m_metrics.add("tamarack_side_orders_given_total");
    const order_answer answer = readOrderAnswer(m_upstream.fetch(request, MaxOrderBytes));
    log_event(log_level::Info, "order given")
        .with("order", order.id)
        .with("fence", order.fence.value())
        .with("kind", orderKindName(order.kind))
        .with("done", answer.outcome == order_outcome::Done)
        .with("reason", answer.message);
    m_dispatcher.onAnswer(answer, steadyNow());
}

void order_service::onRead(const log_read &read, bool atEnd)
{
    m_dispatcher.onRead({read.entries, atEnd, read.requestedAt, wallSeconds()}, steadyNow());
}

} // namespace tamarack
