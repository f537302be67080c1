// A home's token bucket for one customer, from which other entries borrow.
#pragma once

#include <tamarackglade/limits/borrower_account.hpp>
#include <tamarackglade/limits/customer_rate.hpp>
#include <tamarackglade/limits/limit_options.hpp>
#include <tamarackglade/schema/wire_generated.h>

#include <unordered_map>

namespace tamarack {

/// @brief A token bucket whose loans count against the burst until spent, returned or expired.
/// Invariant: level + loans + the earlier home's possible loans <= burst (when the burst is
/// lowered, level is 0 until this holds). Loans never exceed half the burst, rounded up.
class lending_bucket
{
public:
    /// @brief Starts an empty bucket.
    /// @param start when the bucket begins to fill
    /// @param settledAt when the earlier home's loans have expired; until then half the burst
    /// counts as lent
    lending_bucket(const limit_options &options, customer_rate rate, time_point start,
                   time_point settledAt);

    /// @brief Changes rate and burst from now on.
    void setRate(customer_rate rate, time_point now);

    /// @brief Takes a token for a request at the home itself.
    /// @return whether a token was available
    bool take(time_point now);

    /// @brief Applies a borrower's report of the tokens that it holds and returns.
    /// @return false if the request is a repeat or was overtaken, and must be ignored
    bool applyReport(const vm_id &borrower, const schema::loan_request_message &request,
                     time_point now);

    /// @brief Lends up to requested tokens to a borrower whose report was just applied.
    /// @return the tokens lent
    std::uint32_t lend(const vm_id &borrower, std::uint32_t requested, time_point now);

    /// @return how long until a token is available, if none is taken before
    duration timeToToken(time_point now);

    /// @return the tokens that can be taken now
    double level(time_point now);

    /// @return the number of borrowers on record
    [[nodiscard]] std::size_t borrowers() const { return m_accounts.size(); }

private:
    void refill(time_point now);
    void accrue(time_point until);
    void releaseExpired(time_point now);
    [[nodiscard]] time_point nextRelease(time_point now) const;
    [[nodiscard]] std::uint32_t loanCap() const { return (m_rate.burst + 1) / 2; }
    [[nodiscard]] double capacity() const;

    const limit_options *m_options;
    customer_rate m_rate;
    double m_level = 0;
    time_point m_updatedAt; // the time point for which m_level holds
    time_point m_settledAt;
    bool m_settled = false;
    std::uint32_t m_outstanding = 0; // the sum over m_accounts
    std::unordered_map<vm_id, borrower_account> m_accounts;
};

} // namespace tamarack
