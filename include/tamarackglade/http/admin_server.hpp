// The operators' listener of a process: health, readiness, metrics and status pages.
#pragma once

#include <tamarackglade/http/http_server.hpp>
#include <tamarackglade/metrics/metric_registry.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <string>

namespace tamarack {

/// @brief Serves /healthz, /readyz, /metrics and pages that the process adds.
class admin_server
{
public:
    /// Answers one path.
    using page = std::function<http_response(const http_request &)>;

    /// registry must outlive the thread.
    /// @param budget as http_server_options::budget
    admin_server(io_thread &thread, metric_registry &registry,
                 std::shared_ptr<connection_budget> budget = nullptr);

    /// @brief Adds a page; call before listen.
    void addPage(const std::string &path, page answer);
    absl::StatusOr<std::uint16_t> listen(const std::string &address);

    /// @brief Sets what /readyz says: 200 if ready, else 503 with the reason.
    void setReady(bool ready, const std::string &reason);

private:
    void answer(http_exchange &exchange);
    http_response readiness();

    metric_registry &m_registry;
    std::map<std::string, page> m_pages; // fixed once listening
    std::mutex m_mutex; // guards the members below
    bool m_ready = false;
    std::string m_reason = "starting";
    http_server m_server;
};

} // namespace tamarack
