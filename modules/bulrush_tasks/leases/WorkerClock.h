#pragma once

#include "bulrush_core/time/Clock.h"
#include "bulrush_tasks/workers/Exchange.h"

#include <string>

namespace bulrush {

/** Computes a lower bound of a worker's own clock from its last answer. */
class WorkerClock
{
public:
    /** Records the clock and incarnation in an answer that arrived now. */
    void answered(const ExchangeAnswer &answer, Instant now);

    /** Returns the time on the worker's clock, in milliseconds, until which an exchange sent now is
        valid; 0 if the worker has not answered yet.
        @param span how long the exchange may be in transit */
    std::int64_t validUntilMs(Instant now, Duration span) const;

    /** Returns the worker's incarnation; empty before its first answer. */
    const std::string &incarnation() const { return this->lastIncarnation; }

private:
    std::string lastIncarnation;
    std::int64_t clockMs = 0;
    Instant answeredAt {};
    bool known = false;
};

} // namespace bulrush
