#include "bulrush_tasks/leases/WorkerClock.h"

namespace bulrush {

void WorkerClock::answered(const ExchangeAnswer &answer, Instant now)
{
    this->lastIncarnation = answer.incarnation;
    this->clockMs = answer.clockMs;
    this->answeredAt = now;
    this->known = true;
}

std::int64_t WorkerClock::validUntilMs(Instant now, Duration span) const
{
    if (!this->known) {
        return 0;
    }
    const Duration elapsed = now - this->answeredAt + span;
    return this->clockMs + duration_cast<milliseconds>(elapsed).count();
}

} // namespace bulrush
