// The borrowed tokens that an entry holds for one customer.
#include <tamarackglade/limits/borrowed_tokens.hpp>

#include <algorithm>

namespace tamarack {

void borrowed_tokens::add(std::uint32_t tokens, time_point expiry)
{
    if (tokens == 0)
        return;
    const auto later = [&](const loan &other) { return other.expiry > expiry; };
    const auto position = std::find_if(m_loans.begin(), m_loans.end(), later);
    m_loans.insert(position, {tokens, expiry});
}

bool borrowed_tokens::spend(time_point now)
{
    dropExpired(now);
    if (m_loans.empty())
        return false;
    if (--m_loans.front().tokens == 0)
        m_loans.erase(m_loans.begin());
    return true;
}

std::uint32_t borrowed_tokens::held(time_point now)
{
    dropExpired(now);
    std::uint32_t sum = 0;
    for (const auto &part : m_loans)
        sum += part.tokens;
    return sum;
}

void borrowed_tokens::dropExpired(time_point now)
{
    std::erase_if(m_loans, [&](const loan &held) { return held.expiry <= now; });
}

} // namespace tamarack
