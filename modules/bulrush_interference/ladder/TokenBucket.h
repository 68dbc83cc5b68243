#pragma once

#include "bulrush_core/time/Clock.h"

namespace bulrush::interference {

/** A token bucket: so many at once, and one more each interval. */
class TokenBucket
{
public:
    /** @param burst    the most that can be taken at once
        @param interval how long one token takes to come back
    */
    TokenBucket(int burst, Duration interval);

    /** Takes one token. @returns whether there was one */
    bool tryTake(Instant now);

    /** Returns how many tokens could be taken now. */
    int available(Instant now) const;

private:
    int burst;
    Duration interval;
    int tokens;
    Instant refilledAt {};
};

} // namespace bulrush::interference
