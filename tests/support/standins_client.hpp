// Blocking requests of tests, over the project's own HTTP client.
#pragma once

#include <tamarackglade/http/http_client.hpp>
#include <tamarackglade/runtime/io_thread.hpp>

#include <nlohmann/json.hpp>

#include <string>
#include <utility>
#include <vector>

namespace tamarack::standins {

/// @return a request of these parts
inline http_client_request
makeRequest(std::string method, std::string target, std::string body = {},
            std::vector<std::pair<std::string, std::string>> headers = {})
{
    http_client_request request;
    request.method = std::move(method);
    request.target = std::move(target);
    request.body = std::move(body);
    request.headers = std::move(headers);
    return request;
}

/// @brief Asks one address; each request has a connection of its own.
class standin_client
{
public:
    explicit standin_client(std::string address) : m_address(std::move(address)) { }

    absl::StatusOr<http_response> ask(const http_client_request &request)
    {
        absl::StatusOr<http_response> response;
        m_thread.run([&] {
            http_client client(m_thread.io(), m_address);
            response = client.fetch(request);
        });
        return response;
    }

    absl::StatusOr<http_response> get(const std::string &target)
    {
        return ask(makeRequest("GET", target));
    }

    absl::StatusOr<http_response> post(const std::string &target, const std::string &body)
    {
        return ask(makeRequest("POST", target, body));
    }

    /// @return the answer's JSON, or null without a whole answer
    nlohmann::json postJson(const std::string &target, const nlohmann::json &body)
    {
        return parse(post(target, body.dump()));
    }

    nlohmann::json getJson(const std::string &target) { return parse(get(target)); }

    /// @brief Starts a request, reads one part of its answer's body and closes the connection.
    void askAndLeave(const http_client_request &request)
    {
        m_thread.run([&] {
            http_client client(m_thread.io(), m_address);
            if (client.start(request).ok())
                (void)client.readSome();
        });
    }

private:
    static nlohmann::json parse(const absl::StatusOr<http_response> &response)
    {
        return response.ok() ? nlohmann::json::parse(response->body, nullptr, false)
                             : nlohmann::json();
    }

    std::string m_address;
    io_thread m_thread;
};

/// @return a header of a response, or an empty string
inline std::string headerOf(const http_response &response, const std::string &name)
{
    for (const auto &[key, value] : response.headers) {
        if (key == name)
            return value;
    }
    return {};
}

} // namespace tamarack::standins
