#pragma once

#include "bulrush_core/time/Clock.h"

namespace bulrush {

/**
    Tells from the time between an owner's beats whether it has more to do than processor time.

    It answers a load of more starts than the owner's machine can order: what can wait then waits,
    so that short work is still started, followed and ended in time.
*/
class OwnerLoad
{
public:
    /** Notes a beat. */
    void beat(Instant now);

    /** Returns whether the beats come so late that work that can wait should. */
    bool overloaded() const;

    /** Forgets all beats. */
    void reset();

private:
    Instant lastBeat {};
    /** The usual time between two beats, in seconds. */
    double gapSeconds = 0.0;
};

} // namespace bulrush
