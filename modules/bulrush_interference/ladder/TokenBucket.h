#pragma once

#include "bulrush_core/time/Clock.h"

namespace bulrush::interference {

/** A token bucket that starts full and gains one token per interval, up to its burst size. */
class TokenBucket
{
public:
    /** @param burst    the capacity in tokens
        @param interval the time in which one token is refilled
    */
    TokenBucket(int burst, Duration interval);

    /** Takes one token. @returns false if none is available */
    bool tryTake(Instant now);

    /** Returns the number of available tokens. */
    int available(Instant now) const;

private:
    int burst;
    Duration interval;
    int tokens;
    Instant refilledAt {};
};

} // namespace bulrush::interference
