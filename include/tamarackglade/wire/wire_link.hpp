// Keeps a wire connection to one address open, connecting again when it ends.
#pragma once

#include <tamarackglade/runtime/io_thread.hpp>
#include <tamarackglade/wire/wire_handler.hpp>
#include <tamarackglade/wire/wire_settings.hpp>

#include <atomic>
#include <chrono>
#include <memory>
#include <string>

namespace tamarack {

/// @brief A link to "ip:port". Reconnects with a growing, jittered pause until closed.
class wire_link
{
public:
    /// settings and handler must outlive the thread.
    wire_link(io_thread &thread, const wire_settings &settings, wire_handler &handler,
              std::string address);
    ~wire_link();

    /// @return the address that the link connects to
    [[nodiscard]] const std::string &address() const { return m_address; }

    /// @brief Ends the link and its connection; callable from any thread.
    void close();

private:
    struct shared_state;

    std::string m_address;
    std::shared_ptr<shared_state> m_state;
};

} // namespace tamarack
