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

/** The state of one task according to the log. */
struct TaskState
{
    std::uint32_t lastAttempt = 0;
    bool open = false; ///< the last attempt has an intent record and no end record
    bool final = false; ///< no further attempt may follow
    Outcome outcome = Outcome::NeverStarted; ///< of the last end record
    Epoch epoch = 0; ///< of the last intent record
    VmId worker; ///< of the last intent record
    TaskKind kind = TaskKind::Batch;
    Resources need;
    std::int64_t runMs = 0;
    std::string checkpoint; ///< where the next attempt resumes
    std::vector<VmId> failedOn;
};

/**
    Builds the state of one group from the fences, intents, checkpoints, ends and drops in its
    stream. Records that are not valid at their position are ignored, so that a late or duplicate
    record has no effect.
*/
class GroupState
{
public:
    /** Applies the record at an offset. */
    void read(std::uint64_t offset, std::string_view payload);

    /** Returns the epoch of the last fence and the sequence of the last batch applied in it. */
    const FencedStream &stream() const { return this->fenced; }

    /** Returns all tasks in the group's state. */
    const std::map<TaskId, TaskState> &tasks() const { return this->taskStates; }

    /** Returns a task's state, or null if no attempt of it is recorded. */
    const TaskState *find(const TaskId &task) const;

    /** Returns whether this attempt has an intent record and no end record. */
    bool isOpen(const AttemptId &attempt) const;

    /** Returns whether the last applied batch is this one or a later one of the same epoch. */
    bool hasApplied(Epoch epoch, std::uint64_t sequence) const;

    /** Returns the greatest offset that a snapshot read so far includes; 0 without a snapshot. */
    std::uint64_t latestSnapshotOffset() const { return this->snapshotOffset; }

    /** Returns a snapshot record of this state. @param asOf the last offset that was read */
    std::string snapshot(std::uint64_t asOf) const;

    /** Returns the snapshot in a payload, if it holds one. */
    static std::optional<StreamSnapshot<GroupState>> decodeSnapshot(std::string_view payload);

private:
    friend struct GuardsAccess;

    void apply(const IntentRecord &record, Epoch epoch);
    void apply(const EndRecord &record, Epoch epoch);
    void apply(const CheckpointRecord &record, Epoch epoch);
    void apply(const DropRecord &record, Epoch epoch);

    FencedStream fenced;
    std::map<TaskId, TaskState> taskStates;
    std::pair<Epoch, std::uint64_t> lastApplied;
    std::uint64_t snapshotOffset = 0;
    Guards guards;
};

} // namespace bulrush
