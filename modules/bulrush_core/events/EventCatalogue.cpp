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
    EventInfo { Event::WorkerRecordsMismatch, Severity::Error, "worker books differ" },
    EventInfo { Event::AttemptStarted, Severity::Debug, "attempt started" },
    EventInfo { Event::AttemptEnded, Severity::Info, "attempt ended" },
    EventInfo { Event::JobCannotRun, Severity::Warning, "job cannot run" },
    EventInfo { Event::JobAccepted, Severity::Info, "job accepted" },
    EventInfo { Event::JobRefused, Severity::Info, "job refused" },
    EventInfo { Event::JobRepeated, Severity::Info, "job repeated" },
    EventInfo { Event::JobOutcomeUnknown, Severity::Warning, "job outcome unknown" },
    EventInfo { Event::JobCancelled, Severity::Info, "job cancelled" },
    EventInfo { Event::JobEnded, Severity::Info, "job ended" },
    EventInfo { Event::TaskStarted, Severity::Info, "task started" },
    EventInfo { Event::TaskEnded, Severity::Info, "task ended" },
    EventInfo { Event::TaskLost, Severity::Warning, "task lost" },
    EventInfo { Event::TaskStopped, Severity::Info, "task stopped" },
    EventInfo { Event::TaskPaced, Severity::Info, "task paced" },
    EventInfo { Event::StartRefused, Severity::Warning, "start refused" },
    EventInfo { Event::StartUnanswered, Severity::Warning, "start unanswered" },
    EventInfo { Event::RunFound, Severity::Info, "run found" },
    EventInfo { Event::TaskCrashed, Severity::Warning, "worker crashed under task" },
    EventInfo { Event::TaskGivenUp, Severity::Warning, "task given up" },
    EventInfo { Event::WorkerSeen, Severity::Info, "worker seen" },
    EventInfo { Event::WorkerGone, Severity::Warning, "worker gone" },
    EventInfo { Event::WorkerDraining, Severity::Info, "worker draining" },
    EventInfo { Event::WorkerResponding, Severity::Info, "worker answers" },
    EventInfo { Event::WorkerSetAside, Severity::Warning, "worker set aside" },
    EventInfo { Event::WorkerRestarted, Severity::Warning, "worker reborn" },
    EventInfo { Event::WorkerEnded, Severity::Warning, "worker ended" },
    EventInfo { Event::WorkerLeaseExpired, Severity::Warning, "worker lease expired" },
    EventInfo { Event::CommandTakenByOtherProcess, Severity::Warning,
                "command taken by another process" },
    EventInfo { Event::OwnershipGained, Severity::Info, "ownership gained" },
    EventInfo { Event::OwnershipLost, Severity::Warning, "ownership lost" },
    EventInfo { Event::OwnerReady, Severity::Info, "owner ready" },
    EventInfo { Event::OwnershipHandedOver, Severity::Info, "ownership handed over" },
    EventInfo { Event::OwnerLoad, Severity::Info, "owner load" },
    EventInfo { Event::FormerOwnersAwaited, Severity::Info, "former owners awaited" },
    EventInfo { Event::FormerOwnersSettled, Severity::Info, "former owners settled" },
    EventInfo { Event::FormerOwnerEnded, Severity::Info, "former owner ended" },
    EventInfo { Event::TakeoverStep, Severity::Info, "takeover step" },
    EventInfo { Event::QueueServedLate, Severity::Warning, "queue served late" },
    EventInfo { Event::ConfigApplied, Severity::Info, "config in force" },
    EventInfo { Event::SettingsRead, Severity::Info, "settings read" },
    EventInfo { Event::QueueServedAgain, Severity::Info, "queue served again" },
    EventInfo { Event::ProgressTooLong, Severity::Error, "progress too long" },
    EventInfo { Event::AppendRejected, Severity::Error, "append rejected" },
    EventInfo { Event::MembershipGivenUp, Severity::Warning, "membership given up" },
    EventInfo { Event::TasksWait, Severity::Info, "tasks wait" },
    EventInfo { Event::PlaceLeft, Severity::Info, "place left to a larger node" },
    EventInfo { Event::FirstRenewals, Severity::Info, "first renewals" },
    EventInfo { Event::StoreLost, Severity::Warning, "store lost" },
    EventInfo { Event::StoreRecovered, Severity::Info, "store back" },
    EventInfo { Event::RecordIgnored, Severity::Warning, "record ignored" },
    EventInfo { Event::StoreCallSlow, Severity::Warning, "store call slow" },
    EventInfo { Event::CallerBodiesRefused, Severity::Warning, "caller bodies refused" },
    EventInfo { Event::CallerUploadsClosed, Severity::Warning, "caller uploads closed" },
    EventInfo { Event::CallerConnectionsClosed, Severity::Warning, "caller connections closed" },
    EventInfo { Event::CallerLimitsSet, Severity::Info, "caller limits set" },
    EventInfo { Event::LinesDropped, Severity::Warning, "lines dropped" },
    EventInfo { Event::EvacuationBegan, Severity::Info, "evacuation began" },
    EventInfo { Event::EvacuationEnded, Severity::Info, "evacuation ended" },
    EventInfo { Event::EvacuationIgnored, Severity::Warning, "evacuation request ignored" },
    EventInfo { Event::EvacuationProgress, Severity::Info, "evacuation progress" },
    EventInfo { Event::StartsWithheld, Severity::Warning, "starts withheld" },
    EventInfo { Event::StartsResumed, Severity::Info, "starts resumed" },
    EventInfo { Event::StoreSlow, Severity::Warning, "store slow" },
    EventInfo { Event::StoreQuick, Severity::Info, "store quick" },
    EventInfo { Event::HandOverUnacknowledged, Severity::Warning, "hand-over not acknowledged" },
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
