// Sends the requests of one thread and checks their answers.
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

/// @brief Keeps idle connections to each target. Used by many fibers of one thread.
class load_client
{
public:
    load_client(boost::asio::io_context &io, const load_profile &profile);

    /// @brief Sends one request and reads its answer.
    /// @param intended when it should have been sent; latencies count from here
    request_outcome execute(const planned_request &request, time_point intended);

    /// @brief Ends all requests under way and refuses new ones; they are Unfinished.
    void stop();

    /// @return requests under way
    [[nodiscard]] std::size_t active() const { return m_active.size(); }

private:
    struct exchange_state;

    std::unique_ptr<http_client> acquireConnection(std::uint32_t target);
    http_client_request buildRequest(const planned_request &request,
                                     const std::string &prompt) const;
    void readAnswer(exchange_state &state);
    void readStream(exchange_state &state);
    void readFullAnswer(exchange_state &state);
    void fail(exchange_state &state, const absl::Status &status, outcome_kind kind);

    boost::asio::io_context &m_io;
    const load_profile &m_profile;
    std::vector<std::vector<std::unique_ptr<http_client>>> m_idle; // by target
    std::unordered_set<http_client *> m_active;
    bool m_stopped = false;
};

} // namespace tamarack
