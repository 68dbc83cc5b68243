#include "bulrush_evacuation/gate/EvacuationGate.h"

namespace bulrush {

namespace {

/** A store that has answered no call for this time counts as down: it confirms no request. */
constexpr milliseconds maxStoreSilence { 2000 };

} // namespace

std::string_view text(StartBlock block)
{
    switch (block) {
    case StartBlock::None:
        return "none";
    case StartBlock::NotRead:
        return "not_read";
    case StartBlock::Stale:
        return "stale";
    }
    return "unknown";
}

StartBlock EvacuationGate::block(const EvacuationRequests &requests, const EvacuationView &view,
                                 Instant now) const
{
    const std::optional<Instant> &readAt = requests.lastReadToEnd();
    if (!readAt || *readAt + this->maxAge / 2 < view.ownerSince) {
        return StartBlock::NotRead;
    }
    const bool storeAnswers = now - view.storeAnsweredAt <= maxStoreSilence;
    if (storeAnswers && now - *readAt > this->maxAge) {
        return StartBlock::Stale;
    }
    return StartBlock::None;
}

bool EvacuationGate::mayStartIn(const DataCentreId &dataCentre, const EvacuationRequests &requests,
                                const EvacuationView &view, Instant now) const
{
    return !requests.isEvacuated(dataCentre)
            && this->block(requests, view, now) == StartBlock::None;
}

} // namespace bulrush
