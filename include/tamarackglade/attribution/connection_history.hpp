// What a connection to an upstream has carried so far.
#pragma once

#include <tamarackglade/core/ids.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>

namespace tamarack {

/// @brief Requests and responses of one connection, in the order in which they were sent.
///
/// An upstream may send a response once more, late, where the next one is expected. Whether a
/// response can be such a copy depends on what the connection has carried before.
class connection_history
{
public:
    /// A copy that comes later than so many requests has been met by the requests in between.
    static constexpr std::size_t MaxRequests = 64;

    /// @brief Records a request before it is sent.
    void onSent(const request_id &request);
    /// @brief Records the head of a response.
    /// @param isNamed whether it names the request that it belongs to
    void onResponse(bool isNamed);

    /// @return the number of requests sent, older ones than MaxRequests included
    [[nodiscard]] std::size_t requests() const { return m_requests; }
    /// @return whether the request is among the last MaxRequests
    [[nodiscard]] bool carried(const request_id &request) const;
    /// @return whether a response named no request
    [[nodiscard]] bool hasUnnamedResponse() const { return m_hasUnnamedResponse; }
    /// @return whether no copy of a response so far could pass for the response to this request
    [[nodiscard]] bool mayCarry(const request_id &request) const
    {
        return !m_hasUnnamedResponse && !carried(request);
    }

private:
    std::deque<std::uint64_t> m_recent; // hashes of the last request ids, newest last
    std::size_t m_requests = 0;
    bool m_hasUnnamedResponse = false;
};

} // namespace tamarack
