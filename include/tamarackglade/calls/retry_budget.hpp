// Limits the additional load from retries.
#pragma once

namespace tamarack {

/// @brief A token budget: each call adds ratio tokens, each retry spends one. Over any sequence of
/// calls, retries are at most initial + ratio * calls.
class retry_budget
{
public:
    /// @param ratio tokens added by each call
    /// @param initial tokens before the first call
    /// @param capacity maximum number of tokens
    retry_budget(double ratio, double initial, double capacity);

    /// @brief Adds the tokens of a new call.
    void onCall();

    /// @return whether a retry is allowed; if so, its token is spent
    bool tryRetry();

private:
    double m_ratio;
    double m_capacity;
    double m_tokens; // from 0 to m_capacity
};

} // namespace tamarack
