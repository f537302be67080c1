// The gateways' membership in the store.
#pragma once

#include <tamarackglade/rates/peer_table.hpp>
#include <tamarackglade/store/record_store.hpp>

#include <cstdint>

namespace tamarack {

/// @brief Renews this gateway's record and reads the others', so that gateways find each other.
/// All calls on the gateway's thread.
class member_registry
{
public:
    /// @param peerTable told of all members
    member_registry(record_store &store, peer_table &peerTable, gateway_member self);

    /// @brief Starts to renew and to read in a fiber of the calling thread.
    void start();
    /// @brief Says that this process ends, and renews no more.
    void leave();

    /// @return whether the members were read once
    [[nodiscard]] bool ready() const { return m_membersRead; }

private:
    void renewLoop();
    void writeRecord(bool leaving);
    void readMembers();

    record_store &m_store;
    peer_table &m_peerTable;
    const gateway_member m_self;
    std::uint64_t m_renewal = 0; // of the record; grows with each
    bool m_membersRead = false;
    bool m_leaving = false;
};

} // namespace tamarack
