// The HTTP face of the platform stand-in: log, VM list, weight store and fault switches.
#pragma once

#include "../../support/standins_freeze.hpp"
#include "append_limiter.hpp"
#include "log_store.hpp"
#include "platform_options.hpp"
#include "vm_registry.hpp"
#include <tamarackglade/http/http_exchange.hpp>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <map>
#include <string>

namespace tamarack::standins {

/// @brief Serves the platform's protocol. Used on one thread, by many fibers.
class platform_service
{
public:
    explicit platform_service(const platform_options &options);

    /// @brief Answers one request.
    void handle(http_exchange &exchange);

private:
    void handleRecords(http_exchange &exchange, const std::string &stream);
    void append(http_exchange &exchange, const std::string &stream);
    void read(http_exchange &exchange, const std::string &stream);
    void waitForRecord(const std::string &stream, std::uint64_t from, duration time);
    void respondRecords(http_exchange &exchange, log_stream &stream, std::uint64_t from,
                        std::uint64_t limit);
    /// @return false if the log is down, after answering 503
    bool passLogFaults(http_exchange &exchange);
    void listVms(http_exchange &exchange);
    void changeVm(http_exchange &exchange, const std::string &vm);
    void sendWeights(http_exchange &exchange, const std::string &name);
    void setFaults(http_exchange &exchange);
    void applyFaults(const nlohmann::json &body);
    void showFaults(http_exchange &exchange);
    void showStats(http_exchange &exchange);

    platform_options m_options;
    platform_faults m_faults;
    freeze_gate m_freeze;
    append_limiter m_limiter;
    log_store m_log;
    vm_registry m_vms;
    std::size_t m_weightReaders = 0; // now
    std::uint64_t m_refusedAppends = 0; // over the rate
    nlohmann::json m_lostAnswers = nlohmann::json::array(); // stream and offset of each
    boost::fibers::mutex m_mutex; // for m_changed only
    std::map<std::string, boost::fibers::condition_variable> m_changed; // by stream
};

} // namespace tamarack::standins
