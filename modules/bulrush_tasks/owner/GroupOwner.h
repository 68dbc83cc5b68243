#pragma once

#include "bulrush_ownership/claims/GroupClaims.h"
#include "bulrush_tasks/leases/Durations.h"
#include "bulrush_tasks/leases/Renewer.h"
#include "bulrush_tasks/model/JobRegistry.h"
#include "bulrush_tasks/owner/Actions.h"
#include "bulrush_tasks/owner/ClaimPass.h"
#include "bulrush_tasks/owner/FailureEvidence.h"
#include "bulrush_tasks/owner/ManagedWorker.h"
#include "bulrush_tasks/owner/PendingAppend.h"
#include "bulrush_tasks/owner/PlacementStrategy.h"
#include "bulrush_tasks/records/GroupState.h"

#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace bulrush {

/** A VM of the group in the platform's list. */
struct VmStatus
{
    VmId worker;
    bool leaving = false;
};

/** The node and process that run a GroupOwner, and its group. */
struct OwnerIdentity
{
    NodeId node;
    std::string processId; ///< unique to each start of the daemon
    GroupId group;
};

/**
    The state machine of one worker group's owner.

    It claims the group in the `work` stream, fences the group's stream, and from then on decides
    which task runs on which worker. An attempt goes through these steps: the intent is recorded in
    the log, the start is sent, the end is recorded, and the worker is told to forget the attempt.
    The owner acts only on records that it has read back from the log in order; a successor's fence
    ends its ownership at the position of the fence in the stream.
*/
class GroupOwner
{
public:
    enum class Phase : std::uint8_t { Idle, Claiming, Fencing, Owning };

    /** @param strategy chooses workers; must outlive this */
    GroupOwner(const OwnerIdentity &identity, const Durations &durations,
               PlacementStrategy &strategy);

    GroupOwner(const GroupOwner &) = delete;
    GroupOwner &operator=(const GroupOwner &) = delete;

    /** Sets whether this node should own the group. With false, it gives the group up at the next
        tick with a usable view of the `work` stream. Losing the group also sets this to false, so
        that the node does not claim the group again until this is called with true. */
    void setWanted(bool ownershipWanted);

    bool isWanted() const { return this->wanted; }

    //==============================================================================
    /** Reads the next record of the group's stream. */
    void readGroupRecord(std::uint64_t offset, std::string_view payload);

    /** Sets the first offset of the group's stream that the log still holds. */
    void setGroupFirstRetainedOffset(std::uint64_t firstOffset);

    /** Processes a worker's answer. Ignores late answers and those to an earlier exchange. */
    void exchangeAnswered(const ExchangeAnswer &answer, Instant now);

    /** Records that the exchange with a worker failed or was not answered in time. */
    void exchangeFailed(const VmId &worker);

    /** Updates the workers from the platform's list of the group's VMs. */
    void updateVmList(std::span<const VmStatus> list, Instant now);

    /** Requests that a running task writes a checkpoint, stops, and is placed again as a new
        attempt. */
    void evict(const TaskId &task, Instant now);

    /** Sets the share of its processors that a running task may use, in percent. */
    void throttle(const TaskId &task, std::int64_t percent);

    /** Returns all actions that are due. */
    std::vector<Action> tick(Instant now, const WorkView &view, const JobRegistry &jobs);

    //==============================================================================
    Phase phase() const { return this->currentPhase; }
    Epoch epoch() const { return this->ownEpoch; }
    const GroupState &state() const { return this->group.state(); }

    /** Returns the offset of the group's stream to read next. */
    std::uint64_t nextGroupOffset() const { return this->group.nextOffset(); }

    /** Returns the workers, for placement and metrics. */
    const std::map<VmId, ManagedWorker> &workers() const { return this->managed; }

    /** Returns the name of the group's stream. */
    std::string groupStream() const { return "group/" + this->identity.group.name(); }

    /** The name of the stream that all nodes read. */
    static constexpr const char *workStream = "work";

private:
    friend struct GuardsAccess;

    struct TickContext
    {
        Instant now;
        const WorkView &view;
        const JobRegistry &jobs;
        std::vector<Action> actions;
    };

    void updateOwnership(TickContext &context);
    void claim(TickContext &context);
    void fence();
    void beginOwnership(Instant now, const WorkView &view);
    void loseOwnership(TickContext &context);
    bool isOwnClaim(const GroupOwnership &ownership) const;

    void confirmBatch();
    void confirm(const IntentRecord &record);
    void confirm(const EndRecord &record);
    void flush(TickContext &context);
    void writeSnapshots(TickContext &context);
    void writeGroupSnapshot(Instant now);
    void writeWorkSnapshot(const TickContext &context);
    std::string recordId(std::string_view kind, std::uint64_t number) const;

    bool isCurrent(const ManagedWorker &worker, const ExchangeAnswer &answer, Instant now) const;
    void applyInventory(ManagedWorker &worker, const ExchangeAnswer &answer, Instant now);
    void evaluateInventory(const ManagedWorker &worker);
    void evaluateMissingAttempt(const AttemptId &attempt, const ManagedWorker &worker);
    void evaluateItem(const InventoryItem &item, const ManagedWorker &worker);
    void queueEvent(Event event, const AttemptId &attempt, std::string_view detail);
    void queueCheckpoint(const InventoryItem &item);
    void reconcile(ManagedWorker &worker);
    bool isCommitted(const AttemptId &attempt, const ManagedWorker &worker) const;
    void detectLostWorkers(TickContext &context);
    bool isLost(const VmId &id, ManagedWorker &worker, const TickContext &context) const;
    void reportSilence(const VmId &id, ManagedWorker &worker, TickContext &context) const;
    void queueLostEnds(const ManagedWorker &worker);
    void sendIfDue(PendingAppend &pending, TickContext &context) const;
    bool isSuperseded() const;
    void updateMissingSince(Instant now);
    std::string lastCheckpoint(const AttemptId &attempt, const ManagedWorker &worker) const;
    void queueEnd(const AttemptId &attempt, Outcome outcome, const std::string &checkpoint,
                  const std::string &result);
    void orderStops(TickContext &context);
    void drain(TickContext &context, ManagedWorker &worker);
    void orderStop(const AttemptId &attempt, ManagedWorker &worker, Outcome reason, Instant now);

    std::vector<TaskId> pendingTasks(const TickContext &context) const;
    bool isPending(const TaskId &task, const TickContext &context) const;
    bool isStartableState(const TaskId &task, const TaskState *state,
                          const TickContext &context) const;
    std::vector<PlacementCandidate> candidates(const TickContext &context) const;
    bool mayTakeWork(const VmId &id, const ManagedWorker &worker, const TickContext &context) const;
    void placeTasks(TickContext &context);
    bool place(const TaskId &task, const JobSpec &spec, std::vector<PlacementCandidate> &candidates,
               TickContext &context);

    void sendExchanges(TickContext &context);
    ExchangeRequest createRequest(ManagedWorker &worker, const VmId &id,
                                  const TickContext &context);
    void addCommands(ExchangeRequest &request, ManagedWorker &worker, const VmId &id,
                     bool leaseAllowed);
    void addStops(ExchangeRequest &request, ManagedWorker &worker);
    bool isStartable(const AttemptId &attempt, const ManagedWorker &worker) const;
    bool needsPromptExchange(const ManagedWorker &worker) const;

    void appendOperation(TickContext &context);
    void addWorkerChanges(std::vector<WorkItem> &items, const TickContext &context) const;
    void addFinishedRanges(std::vector<WorkItem> &items, const TickContext &context) const;
    void addReturns(std::vector<WorkItem> &items, TickContext &context);
    void addClaims(std::vector<WorkItem> &items, TickContext &context, bool urgentOnly);
    std::optional<WorkItem> claimItem(const JobSpec &spec, const TickContext &context,
                                      ClaimPass &pass) const;
    std::vector<Resources> capacities() const;
    bool isCompleted(const TaskId &task, const TickContext &context) const;
    bool isAnyRunning(const VmId &id) const;
    std::optional<WorkItem> returnItem(const TaskId &task, const TickContext &context) const;
    std::map<TeamId, Resources> teamUsage(const TickContext &context) const;
    void dropCompleted(TickContext &context);
    void reportCannotRun(const JobSpec &spec, const std::vector<Resources> &capacities,
                         TickContext &context);

    OwnerIdentity identity;
    Durations durations;
    PlacementStrategy &placement;
    Guards guards;

    bool wanted = false;
    bool groupKnown = false; ///< the log has answered a read of the group's stream
    Phase currentPhase = Phase::Idle;
    Epoch ownEpoch = 0;
    std::uint64_t claimCount = 0;
    PendingAppend pendingClaim;
    StreamFollower<GroupState> group;

    std::vector<GroupRecord> queue; ///< records that wait for the next batch
    std::vector<GroupRecord> batchInFlight;
    std::uint64_t batchSequence = 0;
    PendingAppend pendingBatch;
    Instant flushedAt {};
    bool urgentQueued = false;
    std::set<TaskId> queuedIntents;
    std::map<AttemptId, IntentRecord> unconfirmed; ///< intents queued or sent, but not read back
    std::set<AttemptId> queuedEnds;

    PendingAppend pendingOperation;
    std::uint64_t operationSequence = 0;
    Instant lastOperationAt {}; ///< when finished and returned tasks were last collected
    PendingAppend pendingGroupSnapshot;
    PendingAppend pendingWorkSnapshot;
    std::uint64_t groupSnapshotAsOf = 0;
    std::uint64_t workSnapshotOffset = 0;
    Instant groupSnapshotAt {};
    std::optional<Instant> workSnapshotAt;
    Instant droppedAt {};

    std::map<VmId, ManagedWorker> managed;
    FailureEvidence evidence;
    std::map<TaskId, Instant> failedAt;
    std::vector<EventAction> pendingEvents; ///< returned by the next tick
    Instant lastNow {};
    std::set<JobId> cannotRunReported;
    std::map<TaskId, Instant> unplacedSince;
    std::set<TaskId> returning; ///< tasks returned by the operation in flight
    std::map<AttemptId, std::string> queuedCheckpoints;
    std::set<VmId> listed;
    bool listKnown = false;
};

} // namespace bulrush
