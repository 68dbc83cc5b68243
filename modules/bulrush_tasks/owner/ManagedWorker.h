#pragma once

#include "bulrush_core/time/Clock.h"
#include "bulrush_tasks/leases/WorkerClock.h"
#include "bulrush_tasks/workers/WorkerLedger.h"

#include <map>
#include <optional>
#include <set>

namespace bulrush {

/** An attempt that is to stop. */
struct StopOrder
{
    Outcome reason = Outcome::Evicted;
    Instant since {};
    bool checkpointFirst = false; ///< a checkpoint is asked for and not yet answered
    bool sent = false;
};

/** What an owner knows of one worker. */
struct ManagedWorker
{
    WorkerLedger ledger;
    WorkerClock clock;
    std::map<AttemptId, InventoryItem> inventory;
    std::map<AttemptId, StopOrder> stops;
    std::map<AttemptId, std::int64_t> throttles; ///< percent
    std::set<AttemptId> started; ///< a start of this epoch was sent
    std::uint64_t sequence = 0; ///< of the last exchange in this epoch
    bool inFlight = false;
    bool everSent = false;
    bool renewed = false; ///< an exchange of this epoch could renew leases
    bool checkpointsSent = false; ///< by the exchange in flight
    bool listedLeaving = false; ///< by the platform's list
    bool answeredLeaving = false; ///< by the worker itself
    bool silenceTold = false;
    Instant sentAt {};
    Instant answeredAt {};
    std::optional<Instant> missingSince; ///< from the platform's list
    std::optional<Instant> revokedSince; ///< as this owner read it

    bool isLeaving() const { return this->listedLeaving || this->answeredLeaving; }
};

} // namespace bulrush
