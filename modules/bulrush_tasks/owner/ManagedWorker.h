#pragma once

#include "bulrush_core/time/Clock.h"
#include "bulrush_tasks/leases/WorkerClock.h"
#include "bulrush_tasks/workers/WorkerLedger.h"

#include <map>
#include <optional>
#include <set>

namespace bulrush {

/** A requested stop of an attempt. */
struct StopOrder
{
    Outcome reason = Outcome::Evicted;
    Instant since {};
    bool awaitingCheckpoint = false; ///< the stop waits for the requested checkpoint
    bool sent = false;
};

/** The state of one worker as its group's owner knows it. */
struct ManagedWorker
{
    WorkerLedger ledger;
    WorkerClock clock;
    std::map<AttemptId, InventoryItem> inventory;
    std::map<AttemptId, StopOrder> stops;
    std::map<AttemptId, std::int64_t> throttles; ///< percent
    std::set<AttemptId> started; ///< attempts for which a start was sent in this epoch
    std::uint64_t sequence = 0; ///< of the last exchange in this epoch
    bool inFlight = false;
    bool exchangeSent = false;
    bool renewalSent = false; ///< an exchange that can renew leases was sent in this epoch
    bool checkpointsSent = false; ///< the last exchange requested checkpoints
    bool listedLeaving = false; ///< according to the platform's list
    bool answeredLeaving = false; ///< according to the worker itself
    bool silenceReported = false;
    Instant sentAt {};
    Instant answeredAt {};
    /** Since when the platform's list has not contained the worker; an answer restarts the time. */
    std::optional<Instant> missingSince;
    /** Since when this owner's view has shown a revocation; an answer restarts the time. */
    std::optional<Instant> revokedSince;

    bool isLeaving() const { return this->listedLeaving || this->answeredLeaving; }
};

} // namespace bulrush
