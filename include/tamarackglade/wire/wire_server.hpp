// Accepts wire connections from other processes of the fleet.
#pragma once

#include <tamarackglade/runtime/io_thread.hpp>
#include <tamarackglade/runtime/tcp_listener.hpp>
#include <tamarackglade/wire/wire_handler.hpp>
#include <tamarackglade/wire/wire_settings.hpp>

#include <absl/status/statusor.h>

#include <string>

namespace tamarack {

/// @brief Listens for peers; those that don't know the fleet secret are refused.
class wire_server
{
public:
    /// settings and handler must outlive the thread.
    wire_server(io_thread &thread, const wire_settings &settings, wire_handler &handler);

    /// @return the bound port, or why it can't listen
    absl::StatusOr<std::uint16_t> listen(const std::string &address);

    /// @brief Accepts no further connection; those that exist go on.
    void stopAccepting();

private:
    tcp_listener m_listener;
};

} // namespace tamarack
