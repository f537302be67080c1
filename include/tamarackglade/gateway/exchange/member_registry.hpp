// Registration of this gateway in the store, and discovery of the others.
#pragma once

#include <tamarackglade/gateway/exchange/quarantine_exchange.hpp>
#include <tamarackglade/rates/peer_table.hpp>
#include <tamarackglade/store/record_store.hpp>

#include <cstdint>

namespace tamarack {

/// @brief Renews this gateway's membership record and reads those of the others. All calls on the
/// gateway's thread.
class member_registry
{
public:
    /// @param peerTable receives all members
    /// @param quarantine part of the records, so that it outlasts the gateways
    member_registry(record_store &store, peer_table &peerTable, quarantine_exchange &quarantine,
                    gateway_member self);

    /// @brief Starts the renewal and read loop in a fiber of the calling thread.
    void start();
    /// @brief Stores that this gateway is leaving and stops the renewal.
    void leave();

    /// @return whether the members have been read at least once
    [[nodiscard]] bool ready() const { return m_membersRead; }

private:
    void renewLoop();
    void writeRecord(bool leaving);
    void readMembers();

    record_store &m_store;
    peer_table &m_peerTable;
    quarantine_exchange &m_quarantine;
    const gateway_member m_self;
    std::uint64_t m_renewal = 0; // number of the last renewal
    bool m_membersRead = false;
    bool m_leaving = false;
};

} // namespace tamarack
