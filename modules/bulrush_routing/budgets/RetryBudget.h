#pragma once

#include <algorithm>

namespace bulrush::routing {

/**
    Token bucket that limits retries and hedges to a share of all requests. Each request deposits a
    fraction of a token, and each retry or hedge takes one token. The bucket starts empty, so that
    the limit holds at any time.
*/
class RetryBudget
{
public:
    /** Tokens that each request deposits: the maximum ratio of retries and hedges to requests. */
    static constexpr double tokensPerRequest = 0.1;

    /** Maximum number of tokens, which limits a burst of retries after a period without retries. */
    static constexpr double capacity = 50.0;

    /** Adds the tokens of a new request. */
    void deposit() { this->tokens = std::min(capacity, this->tokens + tokensPerRequest); }

    /** Takes a token for a retry; returns false if none is left. */
    bool tryWithdraw() { return this->tryWithdrawAbove(0); }

    /** Takes a token if at least the reserve, which is kept for retries, remains afterwards;
       returns false otherwise. */
    bool tryWithdrawAbove(double reserve)
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
