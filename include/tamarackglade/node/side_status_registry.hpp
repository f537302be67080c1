// The latest load report of each connected side, for the status page.
#pragma once

#include <tamarackglade/node/side_status.hpp>
#include <tamarackglade/wire/wire_peer.hpp>

#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace tamarack {

/// @brief Keeps reports by connection. Thread-safe.
class side_status_registry
{
public:
    void onReport(const wire_peer &peer, const schema::load_report_message &report);
    void onClosed(const wire_peer &peer);

    /// @return the sides in the order of their connections
    [[nodiscard]] std::vector<side_status> sides() const;

private:
    mutable std::mutex m_mutex; // guards m_sides
    std::map<std::uint64_t, side_status> m_sides; // by connection
};

} // namespace tamarack
