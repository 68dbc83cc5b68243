#include "bulrush_entry/front/StoreHealth.h"

#include "bulrush_core/events/DecisionLog.h"

namespace bulrush {

namespace {

/** Time without an answer after which the store counts as lost. */
constexpr milliseconds lossTimeout { 2000 };

} // namespace

StoreHealth::StoreHealth(const Clock &systemClock, DecisionLog &decisionLog)
    : clock(systemClock)
    , decisions(decisionLog)
    , answeredAt(systemClock.now())
{
}

void StoreHealth::recordOutcome(std::string_view call, StoreOutcome outcome)
{
    if (outcome == StoreOutcome::Unknown || outcome == StoreOutcome::Refused) {
        return;
    }
    this->answeredAt = this->clock.now();
    if (this->lost) {
        this->lost = false;
        this->decisions.write(DecisionLine(Event::StoreRecovered).with("call", call));
    }
}

bool StoreHealth::checkLost()
{
    const Duration silence = this->clock.now() - this->answeredAt;
    if (silence <= lossTimeout) {
        return false;
    }
    if (!this->lost) {
        this->lost = true;
        this->decisions.write(
                DecisionLine(Event::StoreLost)
                        .with("silent_ms", duration_cast<milliseconds>(silence).count()));
    }
    return true;
}

} // namespace bulrush
