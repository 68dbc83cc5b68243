#include "bulrush_interference/ladder/TokenBucket.h"

#include <algorithm>

namespace bulrush::interference {

TokenBucket::TokenBucket(int burst, Duration interval)
    : burst(burst)
    , interval(std::max(interval, Duration(1)))
    , tokens(burst)
{
}

bool TokenBucket::tryTake(Instant now)
{
    const int before = this->available(now);
    if (before <= 0) {
        return false;
    }
    if (before >= this->burst) {
        this->refilledAt = now;
    } else {
        this->refilledAt += this->interval * (before - this->tokens);
    }
    this->tokens = before - 1;
    return true;
}

int TokenBucket::available(Instant now) const
{
    const auto refilled = std::max<Duration::rep>(0, (now - this->refilledAt) / this->interval);
    return static_cast<int>(std::min<Duration::rep>(this->burst, this->tokens + refilled));
}

} // namespace bulrush::interference
