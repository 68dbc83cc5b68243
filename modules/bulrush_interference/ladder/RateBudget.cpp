#include "bulrush_interference/ladder/RateBudget.h"

#include <algorithm>

namespace bulrush::interference {

RateBudget::RateBudget(int burst, Duration interval)
    : burst(burst)
    , interval(std::max(interval, Duration(1)))
    , left(burst)
{
}

bool RateBudget::take(Instant now)
{
    const int before = this->available(now);
    if (before <= 0) {
        return false;
    }
    if (before >= this->burst) {
        this->refilledAt = now;
    } else {
        this->refilledAt += this->interval * (before - this->left);
    }
    this->left = before - 1;
    return true;
}

int RateBudget::available(Instant now) const
{
    const auto refilled = std::max<Duration::rep>(0, (now - this->refilledAt) / this->interval);
    return static_cast<int>(std::min<Duration::rep>(this->burst, this->left + refilled));
}

} // namespace bulrush::interference
