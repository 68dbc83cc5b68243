#pragma once

#include "bulrush_core/time/Clock.h"

namespace bulrush {

/** How many starts a cold worker takes. */
struct ColdStartRate
{
    /** Starts a second; 0 for no limit. */
    double perSecond = 0.0;
    /** How many starts may exceed the rate. */
    double burst = 0.0;
};

/** Limits the rate of starts on one worker while it is cold, by a token bucket. */
class ColdStartLimit
{
public:
    /** Sets until when the worker stays cold and the rate that holds until then. */
    void setCold(Instant until, const ColdStartRate &limit);

    bool isCold(Instant now) const { return now < this->coldUntil; }

    /** Returns whether the worker may take one more start now. */
    bool mayStart(Instant now) const;

    /** Counts a start. */
    void started(Instant now);

private:
    bool isLimited(Instant now) const { return this->isCold(now) && this->rate.perSecond > 0.0; }

    /** Returns the starts that may be sent at once. */
    double tokensAt(Instant now) const;

    ColdStartRate rate;
    Instant coldUntil {};
    /** The tokens at the time of the last start; a full bucket before the first. */
    double tokens = 0.0;
    Instant tokensSetAt {};
    bool used = false;
};

} // namespace bulrush
