#pragma once

#include "bulrush_ownership/streams/FencedStream.h"
#include "bulrush_ownership/streams/StreamFollower.h"
#include "bulrush_tasks/records/GroupRecords.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bulrush {

/** What the log says about one task. */
struct TaskState
{
    std::uint32_t lastAttempt = 0;
    bool open = false; ///< the last attempt has an intent and no end
    bool final = false; ///< no attempt may follow
    Outcome outcome = Outcome::NeverStarted; ///< of the last end
    Epoch epoch = 0; ///< of the last intent
    VmId worker; ///< of the last intent
    TaskKind kind = TaskKind::Batch;
    Resources need;
    std::int64_t runMs = 0;
    std::string checkpoint; ///< where the next attempt resumes
    std::vector<VmId> failedOn;
};

/**
    Folds one group's stream: fences, intents, checkpoints, ends. Records that are not valid at
    their position change nothing, so that a late or doubled record is harmless.
*/
class GroupState
{
public:
    /** Applies the record at an offset. */
    void read(std::uint64_t offset, std::string_view payload);

    /** Returns the epoch and sequence up to which batches were applied. */
    const FencedStream &stream() const { return this->fenced; }

    /** Returns all tasks that the group remembers. */
    const std::map<TaskId, TaskState> &tasks() const { return this->taskStates; }

    /** Returns a task's state, or null where none of its attempts is on record. */
    const TaskState *find(const TaskId &task) const;

    /** Returns whether this attempt has an intent and no end. */
    bool isOpen(const AttemptId &attempt) const;

    /** Returns whether the newest applied batch, or a later one of its epoch, is this one. */
    bool hasApplied(Epoch epoch, std::uint64_t sequence) const;

    /** Returns the offset up to which the snapshots that were read reach; 0 without any. */
    std::uint64_t snapshotReach() const { return this->reach; }

    /** Returns the snapshot record of this state. @param asOf the last offset that was read */
    std::string snapshot(std::uint64_t asOf) const;

    /** Returns the snapshot in a payload, if it holds one. */
    static std::optional<StreamSnapshot<GroupState>> snapshotIn(std::string_view payload);

private:
    friend struct GuardsAccess;

    void apply(const IntentRecord &record, Epoch epoch);
    void apply(const EndRecord &record, Epoch epoch);
    void apply(const CheckpointRecord &record, Epoch epoch);
    void apply(const DropRecord &record, Epoch epoch);

    FencedStream fenced;
    std::map<TaskId, TaskState> taskStates;
    std::pair<Epoch, std::uint64_t> lastApplied;
    std::uint64_t reach = 0;
    Guards guards;
};

} // namespace bulrush
