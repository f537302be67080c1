// The callers' requests in progress, which end before the process does.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace tamarack {

/// @brief Calls a listener of each request in progress before the process exits; the listener makes
/// the request send an answer. All calls on the gateway's thread.
class open_calls
{
public:
    /// @brief Ends the registration of a request with its scope.
    class registration
    {
    public:
        registration(open_calls &calls, std::uint64_t number) : m_calls(calls), m_number(number) { }
        registration(const registration &) = delete;
        registration &operator=(const registration &) = delete;
        ~registration() { m_calls.m_listeners.erase(m_number); }

    private:
        open_calls &m_calls;
        const std::uint64_t m_number;
    };

    /// @param onEnd called at most once, without suspending the fiber; at once if the process ends
    [[nodiscard]] registration add(std::function<void()> onEnd)
    {
        if (m_ended)
            onEnd();
        else
            m_listeners.emplace(++m_lastNumber, std::move(onEnd));
        return {*this, m_lastNumber};
    }

    /// @brief Calls each registered onEnd.
    void endAll()
    {
        m_ended = true;
        for (const auto &[number, onEnd] : std::exchange(m_listeners, {}))
            onEnd();
    }

private:
    std::map<std::uint64_t, std::function<void()>> m_listeners;
    std::uint64_t m_lastNumber = 0;
    bool m_ended = false;
};

} // namespace tamarack
