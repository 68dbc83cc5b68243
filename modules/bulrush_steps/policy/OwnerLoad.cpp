#include "bulrush_steps/policy/OwnerLoad.h"

namespace bulrush {

namespace {

/** The weight of the newest gap. */
constexpr double newestWeight = 0.2;

/** Beats that are further apart than this delay each step of a short job noticeably. */
constexpr double longestGapSeconds = 0.05;

} // namespace

void OwnerLoad::beat(Instant now)
{
    if (this->lastBeat != Instant()) {
        const std::chrono::duration<double> gap = now - this->lastBeat;
        this->gapSeconds += newestWeight * (gap.count() - this->gapSeconds);
    }
    this->lastBeat = now;
}

bool OwnerLoad::overloaded() const
{
    return this->gapSeconds > longestGapSeconds;
}

void OwnerLoad::reset()
{
    *this = OwnerLoad();
}

} // namespace bulrush
