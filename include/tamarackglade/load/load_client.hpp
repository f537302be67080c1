// HTTP client of one thread of the load tool, which checks every answer.
#pragma once

#include <tamarackglade/http/http_client.hpp>
#include <tamarackglade/load/load_profile.hpp>
#include <tamarackglade/load/planned_request.hpp>
#include <tamarackglade/load/request_outcome.hpp>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <memory>
#include <unordered_set>
#include <vector>

namespace tamarack {

/// @brief Sends requests over pooled connections to each target. Can be used by many fibers of one
/// thread.
class load_client
{
public:
    load_client(boost::asio::io_context &io, const load_profile &profile);

    /// @brief Sends one request, reads its answer and checks it.
    /// @param intended planned time of sending, from which latencies are measured
    request_outcome execute(const planned_request &request, time_point intended);

    /// @brief Aborts all active requests and rejects new ones; their outcome is Unfinished.
    void stop();

    /// @return the number of active requests
    [[nodiscard]] std::size_t active() const { return m_active.size(); }

private:
    struct exchange_state;

    std::unique_ptr<http_client> acquireConnection(std::uint32_t target);
    http_client_request buildRequest(const planned_request &request,
                                     const std::string &prompt) const;
    /// @brief Reads the answer of another status than 200.
    void readError(exchange_state &state, unsigned status);
    void readAnswer(exchange_state &state);
    void readStream(exchange_state &state);
    void readFullAnswer(exchange_state &state);
    /// @return the whole body, or why it broke off
    static absl::StatusOr<std::string> readBody(exchange_state &state);
    void fail(exchange_state &state, const absl::Status &status, outcome_kind kind);

    boost::asio::io_context &m_io;
    const load_profile &m_profile;
    std::vector<std::vector<std::unique_ptr<http_client>>> m_idle; // by target
    std::unordered_set<http_client *> m_active;
    bool m_stopped = false;
};

} // namespace tamarack
