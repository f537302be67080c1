// The configuration in force, shared by all threads of a process.
#pragma once

#include <tamarackglade/config/config_state.hpp>

#include <atomic>
#include <memory>
#include <mutex>

namespace tamarack {

/// @brief Holds the latest folded configuration. Thread-safe.
class config_store
{
public:
    /// @return the state in force; null until there is one
    [[nodiscard]] std::shared_ptr<const config_state> current() const;

    /// @brief Replaces the state; one with a lower offset is ignored.
    void replace(std::shared_ptr<const config_state> next);

    /// @return a number that grows with every replacement, to notice changes cheaply
    [[nodiscard]] std::uint64_t version() const { return m_version; }

private:
    mutable std::mutex m_mutex; // guards m_current
    std::shared_ptr<const config_state> m_current;
    std::atomic<std::uint64_t> m_version{0};
};

} // namespace tamarack
