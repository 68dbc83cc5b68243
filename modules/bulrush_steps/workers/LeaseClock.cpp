#include "bulrush_steps/workers/LeaseClock.h"

#include <algorithm>

namespace bulrush {

namespace {

/** Lowest assumed rate of a worker's clock, relative to true time. */
constexpr double minClockRate = 0.98;

/** Covers rounding to whole milliseconds and the time that a worker needs to end its runs. */
constexpr milliseconds leaseExpiryMargin { 150 };

} // namespace

milliseconds maxLocalDuration(milliseconds workerSpan)
{
    const auto span = static_cast<double>(workerSpan.count());
    return milliseconds(static_cast<std::int64_t>(span / minClockRate));
}

void LeaseClock::recordReading(WorkerMillis clock, Instant arrivedAt)
{
    this->reading = Reading { clock, arrivedAt };
}

void LeaseClock::reset()
{
    this->reading.reset();
    this->latestLeaseEnd = 0;
}

std::optional<WorkerMillis> LeaseClock::clockAt(Instant now) const
{
    if (!this->reading) {
        return std::nullopt;
    }
    return this->reading->clock
            + duration_cast<milliseconds>(now - this->reading->arrivedAt).count();
}

void LeaseClock::recordLeaseEnd(WorkerMillis leaseEnd)
{
    this->latestLeaseEnd = std::max(this->latestLeaseEnd, leaseEnd);
}

std::optional<Instant> LeaseClock::leaseExpiredAt() const
{
    if (!this->reading) {
        return std::nullopt;
    }
    const auto left = std::max<WorkerMillis>(0, this->latestLeaseEnd - this->reading->clock);
    return this->reading->arrivedAt + maxLocalDuration(milliseconds(left)) + leaseExpiryMargin;
}

} // namespace bulrush
