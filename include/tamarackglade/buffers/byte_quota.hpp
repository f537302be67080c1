// Bounds the bytes that a process holds for one purpose.
#pragma once

#include <cstddef>

namespace tamarack {

/// @brief A number of bytes that many holders share, such as all responses that are being read.
/// Without a network; all calls on one thread.
class byte_quota
{
public:
    class share;

    explicit byte_quota(std::size_t limit) : m_limit(limit) { }
    byte_quota(const byte_quota &) = delete;
    byte_quota &operator=(const byte_quota &) = delete;

    [[nodiscard]] std::size_t used() const { return m_used; }
    [[nodiscard]] std::size_t limit() const { return m_limit; }

private:
    const std::size_t m_limit;
    std::size_t m_used = 0; // sum of all shares
};

/// @brief What one holder holds. Gives it back when destroyed; the quota must outlive it.
class byte_quota::share
{
public:
    /// Granted to each holder whatever others hold, so that small responses go on.
    static constexpr std::size_t SmallBytes = 32 * 1024;

    explicit share(byte_quota &quota) : m_quota(quota) { }
    share(const share &) = delete;
    share &operator=(const share &) = delete;
    ~share() { m_quota.m_used -= m_bytes; }

    /// @brief Sets what the holder holds.
    /// @return false if the quota doesn't allow it; the holder has to free it then
    [[nodiscard]] bool set(std::size_t bytes)
    {
        m_quota.m_used += bytes - m_bytes;
        const bool grows = bytes > m_bytes;
        m_bytes = bytes;
        return !grows || bytes <= SmallBytes || m_quota.m_used <= m_quota.m_limit;
    }

private:
    byte_quota &m_quota;
    std::size_t m_bytes = 0;
};

} // namespace tamarack
