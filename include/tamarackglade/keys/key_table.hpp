// The valid keys, as part of the folded configuration.
#pragma once

#include <tamarackglade/keys/key_check.hpp>
#include <tamarackglade/keys/key_entry.hpp>

#include <map>
#include <set>
#include <string_view>

namespace tamarack {

/// @brief Valid keys by id, and the ids that were withdrawn.
class key_table
{
public:
    /// @brief Adds a key; an id that is in the table or was ever withdrawn is not changed.
    /// @return whether the table changed
    bool issue(const key_id &id, key_entry entry);

    /// @brief Removes a key permanently, even if it was not issued yet.
    /// @return whether the table changed
    bool withdraw(const key_id &id);

    /// @brief Removes the record of a withdrawal. Only for tests that show that a check can fail.
    void removeWithdrawal(const key_id &id) { m_withdrawn.erase(id); }

    /// @brief Checks a presented key. Hashes and compares once in every case, so that the time
    /// taken does not reveal which ids exist. Complexity O(log keys).
    [[nodiscard]] key_check check(std::string_view presented) const;

    [[nodiscard]] bool isWithdrawn(const key_id &id) const { return m_withdrawn.contains(id); }

    /// @return the valid keys, in order of id; hashes only, no secrets
    [[nodiscard]] const std::map<key_id, key_entry> &entries() const { return m_entries; }
    [[nodiscard]] const std::set<key_id> &withdrawn() const { return m_withdrawn; }

private:
    // Invariant: no id is in both.
    std::map<key_id, key_entry> m_entries;
    std::set<key_id> m_withdrawn;
};

} // namespace tamarack
