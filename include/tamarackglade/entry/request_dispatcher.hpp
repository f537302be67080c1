// First handler of every caller's request: authenticates it, checks route and rate, assigns the
// request id and writes the log line.
#pragma once

#include <tamarackglade/entry/batches_api.hpp>
#include <tamarackglade/entry/completions_api.hpp>
#include <tamarackglade/entry/entry_context.hpp>
#include <tamarackglade/entry/files_api.hpp>
#include <tamarackglade/entry/service_api.hpp>
#include <tamarackglade/http/http_server_options.hpp>

#include <optional>
#include <string>
#include <variant>

namespace tamarack {

/// @brief Authenticates requests and passes them to the API of their path. Thread-safe; runs in the
/// fibers of all server threads.
class request_dispatcher
{
public:
    request_dispatcher(entry_context &context, io_thread &control, job_controller &controller);

    /// @brief Answers one request.
    void serve(http_exchange &exchange);

    /// @brief Refuses unknown keys, paths and methods before the body is read.
    /// @param bodyLimit maximum body size in bytes, except for file uploads
    /// @param fileLimit maximum body size of a file upload, in bytes
    header_verdict checkHeader(const http_request &request, std::size_t bodyLimit,
                               std::size_t fileLimit);

private:
    using handler = void (request_dispatcher::*)(const caller_request &);

    /// @brief A row of the route table.
    struct api_route
    {
        std::string_view method;
        std::string_view path; // a prefix if it ends with '/'; the rest is an object's id
        handler handle;
    };
    static const api_route Routes[];

    /// @brief The authenticated caller, or the error to send.
    using authentication_result = std::variant<caller, api_error>;

    void serveCompletion(const caller_request &request);
    void listModels(const caller_request &request);
    void showModel(const caller_request &request);
    void uploadFile(const caller_request &request);
    void listFiles(const caller_request &request);
    void showFile(const caller_request &request);
    void createBatch(const caller_request &request);
    void listBatches(const caller_request &request);
    void showBatch(const caller_request &request);
    void cancelBatch(const caller_request &request);

    static const api_route *findRoute(const http_request &request, bool &pathKnown);
    [[nodiscard]] authentication_result authenticate(const http_request &request,
                                                     const config_state &config) const;
    std::optional<api_error> checkRate(const caller &from);
    std::optional<api_error> checkRoute(const http_request &request,
                                        const std::shared_ptr<const config_state> &config,
                                        caller &from);

    entry_context &m_context;
    completions_api m_completions;
    service_api m_services;
    files_api m_files;
    batches_api m_batches;
};

} // namespace tamarack
