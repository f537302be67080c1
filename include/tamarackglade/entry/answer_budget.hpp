// Bounds the bytes of answers that wait for their callers.
#pragma once

#include <atomic>
#include <cstddef>

namespace tamarack {

/// @brief Counts the bytes that all answer channels of a process hold. Thread-safe.
class answer_budget
{
public:
    explicit answer_budget(std::size_t limit) : m_limit(limit) { }
    answer_budget(const answer_budget &) = delete;
    answer_budget &operator=(const answer_budget &) = delete;

    /// @return whether the sum is within the limit; the bytes count in any case
    bool add(std::size_t bytes) { return m_used.fetch_add(bytes) + bytes <= m_limit; }
    void remove(std::size_t bytes) { m_used.fetch_sub(bytes); }
    [[nodiscard]] std::size_t used() const { return m_used; }

private:
    const std::size_t m_limit;
    std::atomic<std::size_t> m_used{0};
};

} // namespace tamarack
