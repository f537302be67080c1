// Bounds the work that retries add.
#pragma once

namespace tamarack {

/// @brief A budget that each new call feeds a little and each retry takes one from.
/// Over any run, retries are at most initial + ratio * calls.
class retry_budget
{
public:
    /// @param ratio retries earned by each call
    /// @param initial retries allowed before any call
    /// @param capacity the most that can be saved up
    retry_budget(double ratio, double initial, double capacity);

    void onCall();

    /// @return whether a retry may go out; if so it is paid for
    bool tryRetry();

private:
    double m_ratio;
    double m_capacity;
    double m_tokens; // from 0 to m_capacity
};

} // namespace tamarack
