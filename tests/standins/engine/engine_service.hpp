// The HTTP face of the engine stand-in.
#pragma once

#include "../../support/standins_freeze.hpp"
#include "answer_format.hpp"
#include "cache_event_log.hpp"
#include "engine_options.hpp"
#include "engine_runner.hpp"
#include "execution_log.hpp"
#include "load_report.hpp"
#include "order_book.hpp"
#include <tamarackglade/http/http_exchange.hpp>

#include <random>
#include <string>
#include <vector>

namespace tamarack::standins {

/// @brief Serves completions, reports, orders and fault switches. Used on one thread.
class engine_service
{
public:
    engine_service(io_thread &thread, const engine_options &options);

    /// @brief Answers one request.
    void handle(http_exchange &exchange);

private:
    using route_handler = void (engine_service::*)(http_exchange &);
    struct route
    {
        std::string_view method;
        std::string_view path;
        route_handler handle;
    };
    static const route Routes[];

    void chatCompletion(http_exchange &exchange) { complete(exchange, true); }
    void textCompletion(http_exchange &exchange) { complete(exchange, false); }
    void complete(http_exchange &exchange, bool chat);
    /// @return whether the request may run; else it was answered
    bool checkRequest(http_exchange &exchange, const engine_request &request);
    /// @return whether a fault has ended the execution
    bool applyFaults(http_exchange &exchange, const engine_request &request, std::uint64_t number);
    void answerWhole(http_exchange &exchange, const engine_request &request, std::uint64_t number);
    void answerStream(http_exchange &exchange, const engine_request &request, std::uint64_t number);
    bool writeTokens(http_exchange &exchange, const answer_format &format,
                     const engine_request &request, std::uint32_t begin, std::uint32_t end);
    std::shared_ptr<sequence_progress> submit(const engine_request &request);
    void sampleLoad();
    void listModels(http_exchange &exchange);
    void health(http_exchange &exchange);
    void showLoad(http_exchange &exchange);
    void showCacheEvents(http_exchange &exchange);
    void showExecutions(http_exchange &exchange);
    void giveOrder(http_exchange &exchange);
    /// @return whether the order's weights came from the weight store, if it needs any
    bool readWeights(const engine_order &order);
    void carryOut(const engine_order &order);
    void showOrders(http_exchange &exchange);
    void setFaults(http_exchange &exchange);
    void parseFaults(const nlohmann::json &body);
    void showFaults(http_exchange &exchange);

    io_thread &m_thread;
    engine_options m_options;
    engine_faults m_faults;
    freeze_gate m_freeze;
    engine_runner m_runner;
    execution_log m_executions;
    load_report m_report;
    cache_event_log m_cacheEvents;
    order_book m_orders;
    bool m_anyModel; // serve models that were not loaded too
    std::vector<std::string> m_models; // loaded
    std::vector<std::string> m_adapters;
    std::string m_role = "serve";
    double m_slowFactor = 1;
    std::mt19937_64 m_random{1};
};

} // namespace tamarack::standins
