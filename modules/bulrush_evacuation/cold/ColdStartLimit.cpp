#include "bulrush_evacuation/cold/ColdStartLimit.h"

#include <algorithm>

namespace bulrush {

void ColdStartLimit::setCold(Instant until, const ColdStartRate &limit)
{
    this->coldUntil = until;
    this->rate = limit;
}

double ColdStartLimit::tokensAt(Instant now) const
{
    // Below one token, no start would ever be allowed.
    const double full = std::max(1.0, this->rate.burst);
    if (!this->used) {
        return full;
    }
    const std::chrono::duration<double> elapsed = now - this->tokensSetAt;
    return std::min(full, this->tokens + elapsed.count() * this->rate.perSecond);
}

bool ColdStartLimit::mayStart(Instant now) const
{
    return !this->isLimited(now) || this->tokensAt(now) >= 1.0;
}

void ColdStartLimit::started(Instant now)
{
    if (!this->isLimited(now)) {
        return;
    }
    this->tokens = this->tokensAt(now) - 1.0;
    this->tokensSetAt = now;
    this->used = true;
}

} // namespace bulrush
