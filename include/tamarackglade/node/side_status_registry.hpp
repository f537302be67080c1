// The latest load report of each connected side, for the status page.
#pragma once

#include <tamarackglade/node/side_status.hpp>
#include <tamarackglade/wire/wire_peer.hpp>

#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace tamarack {

/// @brief Stores the latest load report of each connection. Thread-safe.
class side_status_registry
{
public:
    /// @brief Replaces the report of the peer's connection.
    void onReport(const wire_peer &peer, const schema::load_report_message &report);
    /// @brief Removes the report of the closed connection.
    void onClosed(const wire_peer &peer);

    /// @return the sides in the order of their connections
    [[nodiscard]] std::vector<side_status> sides() const;

private:
    mutable std::mutex m_mutex; // guards m_sides
    std::map<std::uint64_t, side_status> m_sides; // by connection id
};

} // namespace tamarack
