// State of a search for a stream's origin at other gateways.
#pragma once

#include <tamarackglade/core/ids.hpp>
#include <tamarackglade/resumption/stream_origin.hpp>

#include <optional>
#include <set>
#include <utility>

namespace tamarack {

/// @brief Ends with the first gateway that keeps the origin, or when all have said that they don't.
class origin_search
{
public:
    /// @param asked the gateways that are asked
    explicit origin_search(std::set<vm_id> asked) : m_asked(asked.size()), m_open(std::move(asked))
    {
    }

    /// @brief Applies an answer; those of gateways that were not asked are ignored.
    /// @param origin nullopt if the gateway doesn't keep it
    void onAnswer(const vm_id &gateway, const std::optional<stream_origin> &origin)
    {
        if (m_open.erase(gateway) > 0 && !m_origin)
            m_origin = origin;
    }

    [[nodiscard]] bool done() const { return m_origin || m_open.empty(); }
    [[nodiscard]] const std::optional<stream_origin> &origin() const { return m_origin; }
    /// @return the gateways that have not answered yet
    [[nodiscard]] const std::set<vm_id> &open() const { return m_open; }
    [[nodiscard]] std::size_t asked() const { return m_asked; }

private:
    std::size_t m_asked;
    std::set<vm_id> m_open;
    std::optional<stream_origin> m_origin;
};

} // namespace tamarack
