#include "bulrush_evacuation/gate/EvacuationGate.h"

namespace bulrush {

namespace {

/** A store that has answered no call for this time counts as down: it confirms no request. */
constexpr milliseconds maxStoreSilence { 2000 };

} // namespace

std::string_view text(EvacuationHold hold)
{
    switch (hold) {
    case EvacuationHold::None:
        return "none";
    case EvacuationHold::NotRead:
        return "not_read";
    case EvacuationHold::Stale:
        return "stale";
    }
    return "unknown";
}

EvacuationHold EvacuationGate::hold(const EvacuationRequests &requests, const EvacuationView &view,
                                    Instant now) const
{
    const std::optional<Instant> &readAt = requests.lastReadToEnd();
    if (!readAt || *readAt + this->maxAge / 2 < view.ownerSince) {
        return EvacuationHold::NotRead;
    }
    const bool storeAnswers = now - view.storeAnsweredAt <= maxStoreSilence;
    if (storeAnswers && now - *readAt > this->maxAge) {
        return EvacuationHold::Stale;
    }
    return EvacuationHold::None;
}

bool EvacuationGate::mayStartIn(const DataCentreId &dataCentre, const EvacuationRequests &requests,
                                const EvacuationView &view, Instant now) const
{
    return !requests.isEvacuated(dataCentre)
            && this->hold(requests, view, now) == EvacuationHold::None;
}

} // namespace bulrush
