#include "bulrush_entry/settings/EntrySettings.h"

#include "bulrush_core/errors/Error.h"

#include <cmath>

namespace bulrush {

namespace {

/** Delay before a machine with one core joins a group that lacks members, so that larger machines
    can join first. The delay is inversely proportional to the processor time of the machine. */
constexpr milliseconds joinDelayOfOneCore { 250 };

constexpr double milliCoresPerCore = 1000.0;

/** Minimum length of a lease. A renewal takes time to transfer and waits behind other orders. */
constexpr milliseconds minLease { 500 };

} // namespace

std::uint32_t EntrySettings::milliCores() const
{
    return static_cast<std::uint32_t>(std::lround(this->processors * milliCoresPerCore));
}

OwnershipTimings EntrySettings::ownershipTimes() const
{
    OwnershipTimings times;
    times.timeToLive = this->minTimeToLive * 3 / 2;
    times.outageGrace = this->dispatch.maxLease;
    times.lease = this->dispatch.lease();
    times.maxLease = this->dispatch.maxLease;
    const double joinDelay = static_cast<double>(joinDelayOfOneCore.count()) / this->processors;
    times.joinDelay = milliseconds(static_cast<std::int64_t>(joinDelay));
    return times;
}

void EntrySettings::check() const
{
    const auto require = [](bool holds, const char *what) {
        if (!holds) {
            throw Error("check settings", "", what);
        }
    };
    require(this->dispatch.maxLease > milliseconds(0), "the maximum lease must be positive");
    require(this->dispatch.lease() >= minLease,
            "a lease must last at least 500 ms, as its renewals wait behind other orders");
    require(this->dispatch.holdWait * 2 < this->dispatch.lease(),
            "a lease must be longer than two hold waits");
    require(this->minTimeToLive > milliseconds(0),
            "the store's minimum time to live must be positive");
    require(this->processors > 0.0, "the available processor time must be positive");
    require(this->gracePeriod > milliseconds(1000),
            "the grace period for a stop must be longer than 1 s");
}

} // namespace bulrush
