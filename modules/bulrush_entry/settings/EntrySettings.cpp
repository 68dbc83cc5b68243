#include "bulrush_entry/settings/EntrySettings.h"

#include "bulrush_core/errors/Error.h"

namespace bulrush {

namespace {

/** How long a machine of one core leaves a missing membership to others; a smaller one longer. */
constexpr milliseconds patienceOfOneCore { 250 };

/** Renewals take their way, and wait behind other orders. */
constexpr milliseconds leastLease { 500 };

} // namespace

OwnershipTimes EntrySettings::ownershipTimes() const
{
    OwnershipTimes times;
    times.timeToLive = this->leastTimeToLive * 3 / 2;
    times.extension = this->dispatch.longestLease;
    times.lease = this->dispatch.lease();
    const double patience = static_cast<double>(patienceOfOneCore.count()) / this->processors;
    times.patience = milliseconds(static_cast<std::int64_t>(patience));
    return times;
}

void EntrySettings::check() const
{
    const auto require = [](bool holds, const char *what) {
        if (!holds) {
            throw Error("check settings", "", what);
        }
    };
    require(this->dispatch.longestLease > milliseconds(0), "the longest lease must be positive");
    require(this->dispatch.lease() >= leastLease, "a lease must outlast the orders that renew it");
    require(this->dispatch.holdWait * 2 < this->dispatch.lease(), "a lease must outlast two holds");
    require(this->leastTimeToLive > milliseconds(0),
            "the store's shortest time to live must be positive");
    require(this->processors > 0.0, "the share of processor time must be positive");
    require(this->grace > milliseconds(1000), "a graceful stop needs more than a second");
}

} // namespace bulrush
