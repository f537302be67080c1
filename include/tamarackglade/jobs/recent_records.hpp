// Window of the most recent record ids, used to ignore repeated appends.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_set>
#include <vector>

namespace tamarack {

/// @brief A window of hashed record ids. Its size is a number of batches, not a time, so that every
/// fold drops an id at the same record.
class recent_records
{
public:
    static constexpr std::size_t Capacity = 4096;

    /// @brief Adds an id. @return false if the id is already in the window; complexity O(1)
    bool insert(const std::string &recordId);
    [[nodiscard]] bool contains(const std::string &recordId) const;

    [[nodiscard]] const std::deque<std::uint64_t> &hashes() const { return m_order; }
    /// @brief Adds the hashes of a snapshot, oldest first.
    void load(const std::vector<std::uint64_t> &hashes);

private:
    void insertHash(std::uint64_t hash);

    // Invariant: both hold the same hashes, at most Capacity.
    std::deque<std::uint64_t> m_order;
    std::unordered_set<std::uint64_t> m_hashes;
};

} // namespace tamarack
