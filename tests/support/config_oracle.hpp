// The oracle of the config stream: what each offset must fold to, from what was appended.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace tamarack::test {

/// @brief Told of every append in order; knows nothing of the project's fold.
class config_oracle
{
public:
    struct expected_state
    {
        std::uint64_t manifestOffset = 0;
        std::set<std::string> keys;
        std::set<std::string> withdrawn;
    };

    config_oracle() : m_states(1) { }

    void onPublish(std::uint64_t base, bool valid)
    {
        expected_state next = m_states.back();
        if (valid && base == next.manifestOffset)
            next.manifestOffset = m_states.size();
        m_states.push_back(next);
    }

    void onIssue(const std::string &key)
    {
        expected_state next = m_states.back();
        if (!next.withdrawn.contains(key))
            next.keys.insert(key);
        m_states.push_back(next);
    }

    void onWithdraw(const std::string &key)
    {
        expected_state next = m_states.back();
        next.keys.erase(key);
        next.withdrawn.insert(key);
        m_states.push_back(next);
    }

    void onNeutral() { m_states.push_back(m_states.back()); }

    [[nodiscard]] std::uint64_t end() const { return m_states.size() - 1; }
    [[nodiscard]] const expected_state &at(std::uint64_t offset) const
    {
        return m_states.at(offset);
    }

private:
    std::vector<expected_state> m_states; // by offset
};

} // namespace tamarack::test
