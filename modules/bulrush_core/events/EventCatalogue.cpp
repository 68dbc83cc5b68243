#include "bulrush_core/events/EventCatalogue.h"

#include <algorithm>
#include <array>

namespace bulrush {

namespace {

constexpr std::array catalogue {
    EventInfo { Event::NodeStarted, Severity::Info, "node started" },
    EventInfo { Event::NodeStopping, Severity::Info, "node stopping" },
    EventInfo { Event::NodeStopped, Severity::Info, "node stopped" },
    EventInfo { Event::DrainBoundPassed, Severity::Warning, "drain bound passed" },
    EventInfo { Event::PeerConnected, Severity::Info, "peer connected" },
    EventInfo { Event::PeerLost, Severity::Warning, "peer lost" },
    EventInfo { Event::PeerFrameRefused, Severity::Warning, "peer frame refused" },
    EventInfo { Event::LogUnavailable, Severity::Warning, "log unavailable" },
    EventInfo { Event::LogAvailable, Severity::Info, "log available" },
    EventInfo { Event::LogTruncated, Severity::Warning, "log truncated" },
    EventInfo { Event::StateFromPeer, Severity::Info, "state from peer" },
    EventInfo { Event::RecordAccepted, Severity::Info, "record accepted" },
    EventInfo { Event::RecordRefused, Severity::Warning, "record refused" },
    EventInfo { Event::RequestRefused, Severity::Debug, "request refused" },
    EventInfo { Event::RequestUnknown, Severity::Warning, "request outcome unknown" },
    EventInfo { Event::TargetEjected, Severity::Warning, "target ejected" },
    EventInfo { Event::TargetLeaving, Severity::Info, "target leaving" },
    EventInfo { Event::GroupClaimed, Severity::Info, "group claimed" },
    EventInfo { Event::GroupLost, Severity::Warning, "group lost" },
    EventInfo { Event::WorkerSilent, Severity::Warning, "worker silent" },
    EventInfo { Event::WorkerBooksDiffer, Severity::Error, "worker books differ" },
    EventInfo { Event::AttemptStarted, Severity::Debug, "attempt started" },
    EventInfo { Event::AttemptEnded, Severity::Info, "attempt ended" },
    EventInfo { Event::JobCannotRun, Severity::Warning, "job cannot run" },
};

} // namespace

std::span<const EventInfo> eventCatalogue()
{
    return catalogue;
}

const EventInfo &eventInfo(Event event)
{
    const auto matches = [event](const EventInfo &info) { return info.event == event; };
    return *std::find_if(catalogue.begin(), catalogue.end(), matches);
}

} // namespace bulrush
