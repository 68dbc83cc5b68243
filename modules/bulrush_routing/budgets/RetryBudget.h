#pragma once

#include <algorithm>

namespace bulrush::routing {

/**
    Keeps retries and hedges at or below a share of all requests: each request earns a part of a
    token and each second send costs one. It starts empty, so that the share holds at any time.
*/
class RetryBudget
{
public:
    /** Second sends for each request. */
    static constexpr double share = 0.1;

    /** Most tokens saved up, so that a burst of retries after a quiet time stays small. */
    static constexpr double capacity = 50.0;

    /** Notes a new request. */
    void earn() { this->tokens = std::min(capacity, this->tokens + share); }

    /** Takes a token for a retry; returns whether there was one. */
    bool spend() { return this->spendAbove(0); }

    /** Takes a token only while more than a reserve is left, which is kept for retries. */
    bool spendAbove(double reserve)
    {
        if (this->tokens < reserve + 1) {
            return false;
        }
        this->tokens -= 1;
        return true;
    }

private:
    double tokens = 0;
};

} // namespace bulrush::routing
