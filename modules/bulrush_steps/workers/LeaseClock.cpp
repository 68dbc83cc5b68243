#include "bulrush_steps/workers/LeaseClock.h"

#include <algorithm>

namespace bulrush {

namespace {

/** Lowest assumed rate of a worker's clock, relative to true time. */
constexpr double minClockRate = 0.98;

/** Covers rounding to whole milliseconds and the time that a worker needs to end its runs. */
constexpr milliseconds leaseExpiryMargin { 150 };

/** Two readings and a moment of the local clock are each rounded to whole milliseconds. */
constexpr milliseconds maxRoundingError { 3 };

} // namespace

milliseconds maxLocalDuration(milliseconds workerSpan)
{
    const auto span = static_cast<double>(workerSpan.count());
    return milliseconds(static_cast<std::int64_t>(span / minClockRate));
}

Instant leaseExpiry(Instant takenBy, milliseconds workerSpan)
{
    return takenBy + maxLocalDuration(workerSpan) + leaseExpiryMargin;
}

void LeaseClock::recordReading(WorkerMillis clock, Instant arrivedAt)
{
    this->reading = Reading { clock, arrivedAt };
}

bool LeaseClock::continues(WorkerMillis clock, Instant sentAt) const
{
    if (!this->reading) {
        return true;
    }
    const auto elapsed = static_cast<double>(
            duration_cast<milliseconds>(sentAt - this->reading->arrivedAt).count());
    const double minElapsed = elapsed > 0.0 ? elapsed * minClockRate : elapsed;
    const auto lowest = this->reading->clock + static_cast<WorkerMillis>(minElapsed);
    return clock + maxRoundingError.count() >= lowest;
}

void LeaseClock::reset()
{
    this->reading.reset();
    this->latestLeaseEnd = 0;
    this->foreignLeaseUntil = Instant();
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
    return std::max(this->countedLeaseExpiredAt(*this->reading), this->foreignLeaseUntil);
}

bool LeaseClock::endsWithForeignLease() const
{
    return this->reading && this->foreignLeaseUntil > this->countedLeaseExpiredAt(*this->reading);
}

Instant LeaseClock::countedLeaseExpiredAt(const Reading &last) const
{
    const auto left = std::max<WorkerMillis>(0, this->latestLeaseEnd - last.clock);
    return leaseExpiry(last.arrivedAt, milliseconds(left));
}

} // namespace bulrush
