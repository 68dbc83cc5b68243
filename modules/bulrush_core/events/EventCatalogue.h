#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace bulrush {

/** The log level of an event. */
enum class Severity : std::uint8_t { Debug, Info, Warning, Error };

/** The numbers of the log events. docs/EVENTS.md lists the cause and the action for each. */
enum class Event : std::uint16_t {
    NodeStarted = 1001,
    NodeStopping = 1002,
    NodeStopped = 1003,
    DrainBoundPassed = 1004,
    PeerConnected = 1101,
    PeerLost = 1102,
    PeerFrameRefused = 1103,
    LogUnavailable = 1201,
    LogAvailable = 1202,
    LogTruncated = 1203,
    StateFromPeer = 1204,
    RecordAccepted = 1301,
    RecordRefused = 1302,
    RequestRefused = 1401,
    RequestUnknown = 1402,
    TargetEjected = 1403,
    TargetLeaving = 1404,
    GroupClaimed = 1501,
    GroupLost = 1502,
    WorkerSilent = 1503,
    WorkerRecordsMismatch = 1504,
    AttemptStarted = 1505,
    AttemptEnded = 1506,
    JobCannotRun = 1507,
    JobAccepted = 1601,
    JobRefused = 1602,
    JobRepeated = 1603,
    JobOutcomeUnknown = 1604,
    JobCancelled = 1605,
    JobEnded = 1606,
    TaskStarted = 1611,
    TaskEnded = 1612,
    TaskLost = 1613,
    TaskStopped = 1614,
    TaskPaced = 1615,
    StartRefused = 1616,
    StartUnanswered = 1617,
    RunFound = 1618,
    TaskCrashed = 1619,
    TaskGivenUp = 1620,
    WorkerSeen = 1621,
    WorkerGone = 1622,
    WorkerDraining = 1623,
    WorkerResponding = 1624,
    WorkerSetAside = 1626,
    WorkerRestarted = 1627,
    WorkerEnded = 1628,
    WorkerLeaseExpired = 1629,
    CommandTakenByOtherProcess = 1630,
    OwnershipGained = 1631,
    OwnershipLost = 1632,
    OwnerReady = 1633,
    OwnershipHandedOver = 1634,
    OwnerLoad = 1635,
    FormerOwnersAwaited = 1636,
    FormerOwnersSettled = 1637,
    FormerOwnerEnded = 1638,
    TakeoverStep = 1639,
    QueueServedLate = 1640,
    ConfigApplied = 1641,
    SettingsRead = 1642,
    QueueServedAgain = 1643,
    ProgressTooLong = 1644,
    AppendRejected = 1645,
    MembershipGivenUp = 1646,
    TasksWait = 1647,
    PlaceLeft = 1648,
    FirstRenewals = 1650,
    StoreLost = 1651,
    StoreRecovered = 1652,
    RecordIgnored = 1653,
    StoreCallSlow = 1654,
    LinesDropped = 1661,
    EvacuationBegan = 1671,
    EvacuationEnded = 1672,
    EvacuationIgnored = 1673,
    EvacuationProgress = 1674,
    StartsWithheld = 1675,
    StartsResumed = 1676,
    CallerBodiesRefused = 1691,
    CallerUploadsClosed = 1692,
    CallerConnectionsClosed = 1693,
    CallerLimitsSet = 1694,
    StoreSlow = 1681,
    StoreQuick = 1682,
    HandOverUnacknowledged = 1683,
};

/** The constant properties of an event: its number, severity and name. */
struct EventInfo
{
    Event event;
    Severity severity;
    std::string_view name;
};

/** Returns all events in the order of their numbers. */
std::span<const EventInfo> eventCatalogue();

/** Returns the catalogue's entry for an event. */
const EventInfo &eventInfo(Event event);

} // namespace bulrush
