#pragma once

#include "bulrush_interference/estimates/PairEstimates.h"
#include "bulrush_placement/usage/UsageModel.h"
#include "bulrush_placement/view/TaskView.h"
#include "bulrush_placement/view/WorkerView.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bulrush::placement {

/** The index of a worker in the table; stable for the lifetime of the table. */
using WorkerSlot = std::size_t;

/** The result of a commitment: Committed, or why it was rejected. */
enum class CommitOutcome {
    Committed,
    NoRoom,
    WorkerLeaving,
    WorkerSetAside,
    WrongDataCentre,
    Reserved,
    TooManyReplicas,
    InvalidSize
};

/**
    The workers of one owner and the resources committed on them; the only class that commits
    resources.

    Keeps the free capacities in a dense array beside the full views, so that a decision scans
    thousands of workers in microseconds.
*/
class WorkerTable
{
public:
    /** Adds a worker, or replaces the view of one that has the same id. */
    WorkerSlot add(const WorkerView &worker);

    /** Returns the slot of a worker, or nothing if the table does not contain it. */
    std::optional<WorkerSlot> find(const VmId &worker) const;

    /** Returns all workers in the order in which they were added. */
    std::span<const WorkerView> workers() const { return this->views; }

    const WorkerView &worker(WorkerSlot slot) const { return this->views[slot]; }

    /** Returns Committed if a task can be committed to a worker now, else the reason why not. */
    CommitOutcome canCommit(WorkerSlot slot, const TaskView &task) const;

    /** Returns whether a worker accepts tasks and has this much free capacity.

        A fast filter for scans over all workers; the remaining conditions need canCommit().
    */
    bool hasRoom(WorkerSlot slot, const Resources &declared) const
    {
        const FreeCapacity &capacity = this->freeCapacities[slot];
        return capacity.isOpen && declared.fitsIn(capacity.free);
    }

    /** Commits a task's declared size; on any other result than Committed, changes nothing. */
    CommitOutcome commit(WorkerSlot slot, const TaskView &task, const UsageModel &usage);

    /** Releases the resources that were committed for a task. */
    void release(WorkerSlot slot, const TaskView &task, const UsageModel &usage);

    /** Recomputes the expected usage of a worker after the model was updated. */
    void refreshExpectedUsage(WorkerSlot slot, const UsageModel &usage);

    /** Recomputes the slowdown that a worker's batch tasks add to its services. */
    void refreshAddedSlowdown(WorkerSlot slot, const UsageModel &usage,
                              const interference::PairEstimates &pairs, Instant now);

    /** Sets whether a worker is leaving; while it is, it accepts no new tasks. */
    void setLeaving(WorkerSlot slot, bool isLeaving);

    /** Sets whether a worker is set aside because it fails every task. */
    void setAside(WorkerSlot slot, bool isSetAside);

    /** Reserves a worker for one task that waited too long; an empty id cancels the reservation. */
    void reserve(WorkerSlot slot, const JobId &job);

    /** Returns how many replicas of a service run on a worker. */
    int replicasOnWorker(const ServiceId &service, WorkerSlot slot) const;

    /** Returns how many replicas of a service run in a rack. */
    int replicasInRack(const ServiceId &service, std::string_view rack) const;

private:
    struct FreeCapacity
    {
        Resources free;
        bool isOpen = false;
    };

    void updateFreeCapacity(WorkerSlot slot);
    void clearReservationIfClosed(WorkerSlot slot);
    void updateLoads(WorkerView &worker, const TaskView &task, int change);

    std::vector<WorkerView> views;
    std::vector<FreeCapacity> freeCapacities;
    std::unordered_map<VmId, WorkerSlot> slots;
    std::unordered_map<ServiceId, std::unordered_map<std::string, int>> replicasByRack;
};

/** Returns a short name of an outcome for logs and messages. */
std::string_view commitOutcomeName(CommitOutcome outcome);

} // namespace bulrush::placement
