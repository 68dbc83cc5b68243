#include "bulrush_tasks/owner/GroupOwner.h"

#include <algorithm>
#include <functional>

namespace bulrush {

namespace {

/** The maximum number of records in a batch. */
constexpr std::size_t maxBatchRecords = 512;

} // namespace

void GroupOwner::flush(TickContext &context)
{
    const bool due =
            this->urgentQueued || context.now - this->flushedAt >= this->durations.batchInterval;
    if (!this->pendingBatch.isActive() && !this->queue.empty() && due) {
        const auto count =
                static_cast<std::ptrdiff_t>(std::min(this->queue.size(), maxBatchRecords));
        const auto end = this->queue.begin() + count;
        this->batchInFlight.assign(this->queue.begin(), end);
        this->queue.erase(this->queue.begin(), end);
        ++this->batchSequence;
        this->flushedAt = context.now;
        this->urgentQueued = this->urgentQueued && !this->queue.empty();
        this->pendingBatch.start(
                this->groupStream(), this->recordId("batch", this->batchSequence),
                encode(GroupBatch { this->ownEpoch, this->batchSequence, this->batchInFlight }));
    }
    this->sendIfDue(this->pendingBatch, context);
}

void GroupOwner::confirmBatch()
{
    this->pendingBatch.clear();
    for (const GroupRecord &record : this->batchInFlight) {
        if (const auto *intent = std::get_if<IntentRecord>(&record)) {
            this->confirm(*intent);
        } else if (const auto *end = std::get_if<EndRecord>(&record)) {
            this->confirm(*end);
        } else if (const auto *checkpoint = std::get_if<CheckpointRecord>(&record)) {
            this->queuedCheckpoints.erase(checkpoint->attempt);
        }
    }
    this->batchInFlight.clear();
}

void GroupOwner::confirm(const IntentRecord &record)
{
    this->queuedIntents.erase(record.attempt.task);
    this->unconfirmed.erase(record.attempt);
    if (!this->state().isOpen(record.attempt)) {
        this->managed[record.worker].ledger.release(record.attempt);
    }
}

void GroupOwner::confirm(const EndRecord &record)
{
    this->queuedEnds.erase(record.attempt);
    const TaskState *task = this->state().find(record.attempt.task);
    if (task != nullptr && !task->open) {
        this->queueEvent(Event::AttemptEnded, record.attempt, nameOf(record.outcome));
        if (record.outcome == Outcome::Failed) {
            this->failedAt[record.attempt.task] = this->lastNow;
        } else {
            this->failedAt.erase(record.attempt.task);
        }
        ManagedWorker &worker = this->managed[task->worker];
        worker.stops.erase(record.attempt);
        worker.throttles.erase(record.attempt);
        this->reconcile(worker);
    }
}

void GroupOwner::writeSnapshots(TickContext &context)
{
    this->writeGroupSnapshot(context.now);
    this->writeWorkSnapshot(context);
    this->sendIfDue(this->pendingGroupSnapshot, context);
    this->sendIfDue(this->pendingWorkSnapshot, context);
}

void GroupOwner::writeGroupSnapshot(Instant now)
{
    if (this->state().latestSnapshotOffset() >= this->groupSnapshotAsOf) {
        this->pendingGroupSnapshot.clear();
    }
    const bool due = now - this->groupSnapshotAt >= this->durations.snapshotInterval;
    if (this->pendingGroupSnapshot.isActive() || !due || this->group.nextOffset() == 0) {
        return;
    }
    this->groupSnapshotAsOf = this->group.nextOffset() - 1;
    this->groupSnapshotAt = now;
    this->pendingGroupSnapshot.start(this->groupStream(),
                                     this->recordId("snapshot", this->groupSnapshotAsOf),
                                     this->state().snapshot(this->groupSnapshotAsOf));
}

/** Snapshots of the `work` stream are written by any owner. The intervals of the groups differ: the
    owner whose interval ends first writes one, and the others restart theirs when they read it. */
void GroupOwner::writeWorkSnapshot(const TickContext &context)
{
    const WorkView &view = context.view;
    if (!view.usable || view.nextOffset == 0) {
        return;
    }
    if (!this->workSnapshotAt || view.claims->latestSnapshotOffset() > this->workSnapshotOffset) {
        this->workSnapshotOffset = view.claims->latestSnapshotOffset();
        this->workSnapshotAt = context.now;
        this->pendingWorkSnapshot.clear();
    }
    const std::size_t share = std::hash<GroupId>()(this->identity.group) % 64;
    const Duration interval =
            this->durations.snapshotInterval * static_cast<std::int64_t>(64 + share) / 128;
    if (this->pendingWorkSnapshot.isActive() || context.now - *this->workSnapshotAt < interval) {
        return;
    }
    const std::uint64_t asOf = view.nextOffset - 1;
    this->workSnapshotAt = context.now;
    this->pendingWorkSnapshot.start(workStream, this->recordId("work-snapshot", asOf),
                                    view.claims->snapshot(asOf));
}

/** Removes from the group's state the tasks that have no open attempt and that the `work` stream
    shows as completed, returned, or held by another group. */
void GroupOwner::dropCompleted(TickContext &context)
{
    if (context.now - this->droppedAt < this->durations.dropInterval || !context.view.usable) {
        return;
    }
    this->droppedAt = context.now;
    std::set<TaskId> held;
    for (const TaskRange &range : context.view.claims->rangesOf(this->identity.group)) {
        for (std::uint32_t index = range.first; index <= range.last; ++index) {
            held.insert({ range.job, index });
        }
    }
    for (const auto &[task, state] : this->state().tasks()) {
        if (!state.open && !held.contains(task) && !this->queuedIntents.contains(task)) {
            this->queue.emplace_back(DropRecord { task.job, task.index, task.index });
        }
    }
}

} // namespace bulrush
