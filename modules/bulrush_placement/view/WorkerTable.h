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

/** The position of a worker in the table; stays the same for the table's life. */
using WorkerSlot = std::size_t;

/** Why a commitment was refused. */
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
    The workers that one owner places work on, and the single place where a commitment is made.

    Keeps what the choice needs in dense arrays beside the full views, so that a decision looks at
    thousands of workers in microseconds.
*/
class WorkerTable
{
public:
    /** Adds a worker, or replaces the view of one that has the same id. */
    WorkerSlot add(const WorkerView &worker);

    /** Returns where a worker stands. */
    std::optional<WorkerSlot> find(const VmId &worker) const;

    /** Returns all workers in the order in which they were added. */
    std::span<const WorkerView> workers() const { return this->views; }

    /** Returns one worker. */
    const WorkerView &worker(WorkerSlot slot) const { return this->views[slot]; }

    /** Returns why a task cannot be committed to a worker now, or Committed if it can. */
    CommitOutcome canCommit(WorkerSlot slot, const TaskView &task) const;

    /** Returns the same answer as canCommit(...) == Committed, for scans over all workers. */
    bool hasRoom(WorkerSlot slot, const Resources &declared) const
    {
        const FreeCapacity &capacity = this->freeCapacities[slot];
        return capacity.isOpen && declared.fitsIn(capacity.free);
    }

    /** Commits a task's declared size, or refuses it and changes nothing. */
    CommitOutcome commit(WorkerSlot slot, const TaskView &task, const UsageModel &usage);

    /** Gives back what a task had committed. */
    void release(WorkerSlot slot, const TaskView &task, const UsageModel &usage);

    /** Works out the learned use of a worker anew, after the model has learned more. */
    void refresh(WorkerSlot slot, const UsageModel &usage);

    /** Works out anew how much the batch tasks of a worker disturb its services. */
    void refreshHarm(WorkerSlot slot, const UsageModel &usage,
                     const interference::PairEstimates &pairs, Instant now);

    /** Marks a worker as leaving; it gets nothing new. */
    void setLeaving(WorkerSlot slot, bool isLeaving);

    /** Marks a worker as set aside because it fails everything. */
    void setAside(WorkerSlot slot, bool isSetAside);

    /** Keeps a worker for one task that waited too long; an empty id frees it. */
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
