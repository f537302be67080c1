// The platform's service as this process reaches it: log, VM list, weight store.
#pragma once

#include <tamarackglade/buffers/byte_quota.hpp>
#include <tamarackglade/http/http_client.hpp>
#include <tamarackglade/platform/log_read.hpp>
#include <tamarackglade/runtime/io_thread.hpp>

#include <absl/status/statusor.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace tamarack {

/// @brief Calls the platform over HTTP. Use on one thread's fibers; any number at once.
///
/// Errors of append tell what is known: Unavailable if the record surely isn't in the log, Unknown
/// if it may be. Errors of reads: Unavailable; OutOfRange if the offset is no longer retained.
class platform_client
{
public:
    /// @brief Bounds what all answers that are being read hold by a share of the memory.
    platform_client(io_thread &thread, std::vector<std::string> addresses);

    /// @brief Appends one payload to a stream.
    /// @return its offset
    absl::StatusOr<log_offset> append(const std::string &stream, const std::string &payload);

    /// @brief Reads entries from an offset on, waiting up to wait for the first one.
    absl::StatusOr<log_read> read(const std::string &stream, log_offset from, std::size_t limit,
                                  std::chrono::milliseconds wait);

    /// @return the VM list as the platform's JSON text
    absl::StatusOr<std::string> vmListText();

private:
    std::unique_ptr<http_client> takeClient();
    void returnClient(std::unique_ptr<http_client> client);
    absl::StatusOr<http_response> call(const http_client_request &request,
                                       std::chrono::milliseconds timeout);

    io_thread &m_thread;
    std::vector<std::string> m_addresses;
    byte_quota m_answerBytes; // of all answers that are being read
    std::size_t m_current = 0; // index of the address in use; moves on after a failure
    std::vector<std::unique_ptr<http_client>> m_idle;
};

} // namespace tamarack
