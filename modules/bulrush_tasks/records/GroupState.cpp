#include "bulrush_tasks/records/GroupState.h"

#include <algorithm>

namespace bulrush {

void GroupState::read(std::uint64_t /*offset*/, std::string_view payload)
{
    const std::optional<GroupBatch> batch = decodeGroupBatch(payload);
    if (!batch) {
        const auto snapshot = decodeSnapshot(payload);
        this->snapshotOffset =
                snapshot ? std::max(this->snapshotOffset, snapshot->asOf) : this->snapshotOffset;
        return;
    }
    if (this->fenced.admit(batch->epoch, batch->sequence) != BatchVerdict::Applied) {
        return;
    }
    this->lastApplied = { batch->epoch, batch->sequence };
    for (const GroupRecord &record : batch->records) {
        std::visit([this, &batch](const auto &kind) { this->apply(kind, batch->epoch); }, record);
    }
}

void GroupState::apply(const IntentRecord &record, Epoch epoch)
{
    TaskState &task = this->taskStates[record.attempt.task];
    if (task.final || record.attempt.attempt <= task.lastAttempt) {
        return;
    }
    if (task.open && this->guards.newAttemptAfterEnd) {
        return;
    }
    task.lastAttempt = record.attempt.attempt;
    task.open = true;
    task.epoch = epoch;
    task.worker = record.worker;
    task.kind = record.kind;
    task.need = record.need;
    task.runMs = record.runMs;
    task.checkpoint = record.checkpoint;
}

void GroupState::apply(const EndRecord &record, Epoch /*epoch*/)
{
    const auto found = this->taskStates.find(record.attempt.task);
    if (found == this->taskStates.end()) {
        return;
    }
    TaskState &task = found->second;
    const bool isLast = task.lastAttempt == record.attempt.attempt;
    if (!task.open || !isLast) {
        return;
    }
    task.open = false;
    task.final = isFinal(record.outcome);
    task.outcome = record.outcome;
    task.checkpoint = record.checkpoint;
    if (record.outcome == Outcome::Failed
        && std::find(task.failedOn.begin(), task.failedOn.end(), task.worker)
                == task.failedOn.end()) {
        task.failedOn.push_back(task.worker);
    }
}

void GroupState::apply(const CheckpointRecord &record, Epoch /*epoch*/)
{
    if (this->isOpen(record.attempt)) {
        this->taskStates[record.attempt.task].checkpoint = record.checkpoint;
    }
}

void GroupState::apply(const DropRecord &record, Epoch /*epoch*/)
{
    auto task = this->taskStates.lower_bound({ record.job, record.first });
    while (task != this->taskStates.end() && task->first.job == record.job
           && task->first.index <= record.last) {
        task = task->second.open ? std::next(task) : this->taskStates.erase(task);
    }
}

bool GroupState::hasApplied(Epoch epoch, std::uint64_t sequence) const
{
    return this->lastApplied.first == epoch && this->lastApplied.second >= sequence;
}

const TaskState *GroupState::find(const TaskId &task) const
{
    const auto found = this->taskStates.find(task);
    return found == this->taskStates.end() ? nullptr : &found->second;
}

bool GroupState::isOpen(const AttemptId &attempt) const
{
    const TaskState *task = this->find(attempt.task);
    return task != nullptr && task->open && task->lastAttempt == attempt.attempt;
}

} // namespace bulrush
