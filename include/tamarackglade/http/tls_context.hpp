// The certificate and key of a TLS listener, reloaded when their files change.
#pragma once

#include <tamarackglade/runtime/byte_stream.hpp>

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <boost/asio/ssl/context.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <filesystem>
#include <memory>
#include <mutex>
#include <string>

namespace tamarack {

/// @brief Holds the current TLS settings. Thread-safe; connections keep the one they began with.
class tls_context
{
public:
    tls_context(std::string certificateFile, std::string keyFile);

    /// @brief Loads the files. On an error the certificate in use stays.
    absl::Status reload();

    /// @brief Reloads if a file has a newer modification time.
    /// @return whether it was reloaded, or the error of the load
    absl::StatusOr<bool> reloadIfChanged();

    /// @brief Performs the server's handshake in the calling fiber.
    /// @return the encrypted stream, or why the handshake failed
    absl::StatusOr<std::unique_ptr<byte_stream>> accept(boost::beast::tcp_stream stream,
                                                        std::chrono::milliseconds timeout);

private:
    using file_times = std::pair<std::filesystem::file_time_type, std::filesystem::file_time_type>;

    [[nodiscard]] file_times modificationTimes() const;

    std::string m_certificateFile;
    std::string m_keyFile;
    std::mutex m_mutex; // guards the members below
    std::shared_ptr<boost::asio::ssl::context> m_context;
    file_times m_loadedTimes;
};

} // namespace tamarack
