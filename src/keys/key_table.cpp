// Issue, withdrawal and check of keys.
#include <tamarackglade/keys/key_format.hpp>
#include <tamarackglade/keys/key_table.hpp>

namespace tamarack {

bool key_table::issue(const key_id &id, key_entry entry)
{
    if (m_withdrawn.contains(id))
        return false;
    return m_entries.emplace(id, std::move(entry)).second;
}

bool key_table::withdraw(const key_id &id)
{
    m_entries.erase(id);
    return m_withdrawn.insert(id).second;
}

key_check key_table::check(std::string_view presented) const
{
    static const key_hash NoHash{};
    const key_hash hash = hashKey(presented);
    const std::optional<key_id> id = parseKeyId(presented);
    const auto found = id ? m_entries.find(*id) : m_entries.end();
    const bool known = found != m_entries.end();
    const bool equal = equalHashes(hash, known ? found->second.hash : NoHash);
    if (known && equal)
        return accepted_key{found->first, found->second.customer};
    if (!id)
        return key_refusal::Malformed;
    if (known)
        return key_refusal::WrongSecret;
    return isWithdrawn(*id) ? key_refusal::Withdrawn : key_refusal::Unknown;
}

} // namespace tamarack
