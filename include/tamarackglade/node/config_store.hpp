// The configuration in force, shared by all threads of a process.
#pragma once

#include <tamarackglade/config/config_state.hpp>

#include <atomic>
#include <memory>
#include <mutex>

namespace tamarack {

/// @brief Holds the newest configuration state folded from the log. Thread-safe.
class config_store
{
public:
    /// @return the state in force; null before the first replace()
    [[nodiscard]] std::shared_ptr<const config_state> current() const;

    /// @brief Replaces the state. Ignores a state with a lower log offset than the current one.
    void replace(std::shared_ptr<const config_state> next);

    /// @return the number of replacements, to detect a change without the lock
    [[nodiscard]] std::uint64_t version() const { return m_version; }

private:
    mutable std::mutex m_mutex; // guards m_current
    std::shared_ptr<const config_state> m_current;
    std::atomic<std::uint64_t> m_version{0};
};

} // namespace tamarack
