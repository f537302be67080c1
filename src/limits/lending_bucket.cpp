// A home's token bucket for one customer.
#include <tamarackglade/limits/lending_bucket.hpp>

#include <algorithm>
#include <cmath>

namespace tamarack {

namespace {

/// Reduces each refill, so that rounding never adds a fraction of a token too much.
constexpr double RoundingGuard = 1 - 1e-9;
/// Wait reported for a customer whose rate is 0.
constexpr duration NoRateWait = std::chrono::hours(1);
/// Accounts of borrowers without loans are removed this long after their last loan has expired.
constexpr duration MaxIdleAccountAge = std::chrono::minutes(1);

} // namespace

lending_bucket::lending_bucket(const limit_options &options, customer_rate rate, time_point start,
                               time_point settledAt)
    : m_options(&options), m_rate(rate), m_updatedAt(start), m_settledAt(settledAt),
      m_settled(settledAt <= start)
{
    if (options.mutation == limit_mutation::NewHomeStartsFull)
        m_level = rate.burst;
}

void lending_bucket::setRate(customer_rate rate, time_point now)
{
    refill(now);
    m_rate = rate;
    m_level = std::min(m_level, capacity());
}

bool lending_bucket::take(time_point now)
{
    refill(now);
    if (m_level < 1)
        return false;
    m_level -= 1;
    return true;
}

bool lending_bucket::applyReport(const vm_id &borrower, const schema::loan_request_message &request,
                                 time_point now)
{
    refill(now);
    if (!m_accounts.contains(borrower)) {
        std::erase_if(m_accounts, [&](const auto &entry) {
            return entry.second.outstanding == 0 && entry.second.expiry + MaxIdleAccountAge < now;
        });
    }
    auto &account = m_accounts[borrower];
    const incarnation_number incarnation(request.incarnation);
    if (request.incarnation < account.incarnation.value())
        return false;
    if (incarnation != account.incarnation) {
        // The borrower's earlier process has ended, and its tokens are lost with it.
        m_outstanding -= account.outstanding;
        account = {};
        account.incarnation = incarnation;
    }
    if (request.sequence <= account.lastRequestSequence)
        return false;
    account.lastRequestSequence = request.sequence;
    // A grant that the borrower had not received when it sent this request is no longer accepted.
    std::uint32_t refund =
        account.lastGrantSequence > request.received_sequence ? account.lastGrantTokens : 0;
    account.lastGrantTokens = 0;
    refund = std::min(refund + request.returned, account.outstanding);
    const std::uint32_t left = std::min(account.outstanding - refund, request.held);
    m_outstanding -= account.outstanding - left;
    account.outstanding = left;
    m_level = std::min(m_level + refund, capacity());
    return true;
}

std::uint32_t lending_bucket::lend(const vm_id &borrower, std::uint32_t requested, time_point now)
{
    refill(now);
    auto &account = m_accounts[borrower];
    const auto wholeTokens = static_cast<std::uint32_t>(std::floor(std::max(m_level, 0.0)));
    const auto remainingLoans = loanCap() - std::min(loanCap(), m_outstanding);
    const auto tokens = std::min({requested, wholeTokens, remainingLoans});
    if (tokens == 0)
        return 0;
    m_level -= tokens;
    m_outstanding += tokens;
    account.outstanding += tokens;
    account.expiry = now + m_options->stretched(m_options->loanLifetime);
    account.lastGrantSequence = account.lastRequestSequence;
    account.lastGrantTokens = tokens;
    return tokens;
}

duration lending_bucket::timeToToken(time_point now)
{
    refill(now);
    if (m_level >= 1)
        return duration::zero();
    if (m_rate.perSecond <= 0 || m_rate.burst == 0)
        return NoRateWait;
    const duration untilStart = std::max(m_updatedAt - now, duration::zero());
    if (capacity() < 1)
        return std::max(nextRelease(now) - now, untilStart);
    const double missing = (1 - m_level) / m_rate.perSecond * (1 + m_options->clockError);
    return untilStart + fromSeconds(missing) + std::chrono::microseconds(1);
}

double lending_bucket::level(time_point now)
{
    refill(now);
    return m_level;
}

void lending_bucket::refill(time_point now)
{
    // The capacity grows when loans expire: refill up to each such time point in turn.
    for (auto release = nextRelease(now); release <= now; release = nextRelease(now)) {
        accrue(release);
        releaseExpired(release);
    }
    accrue(now);
}

void lending_bucket::accrue(time_point until)
{
    if (until <= m_updatedAt)
        return;
    const double seconds = toSeconds(until - m_updatedAt);
    // This clock may be fast by up to clockError: refill as if it were.
    const double gained = seconds * m_rate.perSecond / (1 + m_options->clockError);
    m_level = std::max(0.0, std::min(m_level + gained * RoundingGuard, capacity()));
    m_updatedAt = until;
}

void lending_bucket::releaseExpired(time_point now)
{
    m_settled = m_settled || m_settledAt <= now;
    for (auto &[vm, account] : m_accounts) {
        if (account.outstanding == 0 || account.expiry > now)
            continue;
        m_outstanding -= account.outstanding;
        account.outstanding = 0;
    }
}

time_point lending_bucket::nextRelease(time_point now) const
{
    time_point next = now + NoRateWait;
    if (!m_settled)
        next = std::min(next, m_settledAt);
    if (m_outstanding == 0)
        return next;
    for (const auto &[vm, account] : m_accounts) {
        if (account.outstanding > 0)
            next = std::min(next, account.expiry);
    }
    return next;
}

double lending_bucket::capacity() const
{
    if (m_options->mutation == limit_mutation::LenderIgnoresLoans)
        return m_rate.burst;
    const double lent = m_outstanding + (m_settled ? 0.0 : loanCap());
    return std::max(0.0, m_rate.burst - lent);
}

} // namespace tamarack
