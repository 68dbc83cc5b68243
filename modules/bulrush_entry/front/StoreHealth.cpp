#include "bulrush_entry/front/StoreHealth.h"

#include "bulrush_core/events/DecisionLog.h"

namespace bulrush {

namespace {

/** Without any answer for so long the store counts as lost. */
constexpr milliseconds lostAfter { 2000 };

} // namespace

StoreHealth::StoreHealth(const Clock &systemClock, DecisionLog &decisionLog)
    : clock(systemClock)
    , decisions(decisionLog)
    , reachedAt(systemClock.now())
{
}

void StoreHealth::note(std::string_view call, StoreOutcome outcome)
{
    if (outcome == StoreOutcome::Unknown || outcome == StoreOutcome::Refused) {
        return;
    }
    this->reachedAt = this->clock.now();
    if (this->wasLost) {
        this->wasLost = false;
        this->decisions.write(DecisionLine(Event::StoreBack).with("call", call));
    }
}

bool StoreHealth::lost()
{
    const Duration silence = this->clock.now() - this->reachedAt;
    if (silence <= lostAfter) {
        return false;
    }
    if (!this->wasLost) {
        this->wasLost = true;
        this->decisions.write(
                DecisionLine(Event::StoreLost)
                        .with("silent_ms", duration_cast<milliseconds>(silence).count()));
    }
    return true;
}

} // namespace bulrush
