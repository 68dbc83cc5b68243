#include "bulrush_tasks/owner/GroupOwner.h"

namespace bulrush {

GroupOwner::GroupOwner(const OwnerIdentity &ownerIdentity, const Durations &ownerDurations,
                       PlacementStrategy &strategy)
    : identity(ownerIdentity)
    , durations(ownerDurations)
    , placement(strategy)
{
}

void GroupOwner::setWanted(bool ownershipWanted)
{
    this->wanted = ownershipWanted;
}

void GroupOwner::readGroupRecord(std::uint64_t offset, std::string_view payload)
{
    this->groupKnown = true;
    this->group.read(offset, payload);
    const bool confirmed = this->pendingBatch.isActive() && this->currentPhase == Phase::Owning
            && this->state().hasApplied(this->ownEpoch, this->batchSequence);
    if (confirmed) {
        this->confirmBatch();
    }
}

void GroupOwner::setGroupFirstRetainedOffset(std::uint64_t firstOffset)
{
    this->groupKnown = true;
    this->group.setFirstRetainedOffset(firstOffset);
}

void GroupOwner::updateVmList(std::span<const VmStatus> list, Instant now)
{
    this->listKnown = true;
    this->listed.clear();
    for (const VmStatus &status : list) {
        this->listed.insert(status.worker);
        ManagedWorker &worker = this->managed[status.worker];
        worker.listedLeaving = status.leaving;
    }
    this->updateMissingSince(now);
}

void GroupOwner::updateMissingSince(Instant now)
{
    if (!this->listKnown) {
        return;
    }
    for (auto &[id, worker] : this->managed) {
        if (this->listed.contains(id)) {
            worker.missingSince.reset();
        } else if (!worker.missingSince) {
            worker.missingSince = now;
        }
    }
}

std::vector<Action> GroupOwner::tick(Instant now, const WorkView &view, const JobRegistry &jobs)
{
    TickContext context { now, view, jobs, {} };
    this->lastNow = now;
    for (EventAction &event : this->pendingEvents) {
        context.actions.emplace_back(std::move(event));
    }
    this->pendingEvents.clear();
    this->updateOwnership(context);
    if (this->currentPhase != Phase::Owning) {
        return std::move(context.actions);
    }
    this->updateMissingSince(now);
    this->detectLostWorkers(context);
    this->orderStops(context);
    this->appendOperation(context);
    this->placeTasks(context);
    this->dropCompleted(context);
    this->flush(context);
    this->sendExchanges(context);
    this->writeSnapshots(context);
    return std::move(context.actions);
}

//==============================================================================
bool GroupOwner::isOwnClaim(const GroupOwnership &ownership) const
{
    if (!this->guards.claimOfThisProcessOnly && ownership.node == this->identity.node) {
        return true;
    }
    return ownership.claimId == this->pendingClaim.recordId() && ownership.epoch == this->ownEpoch;
}

bool GroupOwner::isSuperseded() const
{
    return this->state().stream().epoch() > this->ownEpoch && this->guards.fenceOldEpochs;
}

void GroupOwner::updateOwnership(TickContext &context)
{
    if (!context.view.usable || context.view.claims == nullptr) {
        if (this->currentPhase == Phase::Owning && this->isSuperseded()) {
            this->loseOwnership(context);
        }
        return;
    }
    if (this->currentPhase == Phase::Idle) {
        if (this->wanted && this->groupKnown && this->group.isUsable()) {
            this->claim(context);
        }
        return;
    }
    const GroupOwnership ownership = context.view.claims->ownershipOf(this->identity.group);
    if (this->currentPhase == Phase::Claiming && this->isOwnClaim(ownership)) {
        this->fence();
    }
    const bool claiming = this->currentPhase == Phase::Claiming;
    const bool claimLost =
            claiming ? ownership.epoch >= this->ownEpoch : !this->isOwnClaim(ownership);
    if (!this->wanted || claimLost || this->isSuperseded() || !this->group.isUsable()) {
        this->loseOwnership(context);
        return;
    }
    const bool fenced = this->state().stream().epoch() == this->ownEpoch;
    if (this->currentPhase == Phase::Fencing && fenced) {
        this->beginOwnership(context.now, context.view);
        context.actions.emplace_back(EventAction { Event::GroupClaimed, this->identity.group.name(),
                                                   "epoch " + std::to_string(this->ownEpoch) });
    }
    this->sendIfDue(this->pendingClaim, context);
    if (this->currentPhase == Phase::Fencing) {
        this->sendIfDue(this->pendingBatch, context);
    }
}

void GroupOwner::claim(TickContext &context)
{
    const GroupOwnership ownership = context.view.claims->ownershipOf(this->identity.group);
    this->ownEpoch = ownership.epoch + 1;
    if (!this->guards.claimOfThisProcessOnly && ownership.node == this->identity.node) {
        this->ownEpoch = ownership.epoch;
        this->fence();
        return;
    }
    const GroupClaim record { this->recordId("claim", ++this->claimCount), this->identity.group,
                              this->identity.node, this->ownEpoch };
    this->pendingClaim.start(workStream, record.id, encode(record));
    this->currentPhase = Phase::Claiming;
    this->sendIfDue(this->pendingClaim, context);
}

void GroupOwner::fence()
{
    this->currentPhase = Phase::Fencing;
    this->pendingClaim.clear();
    this->pendingBatch.start(this->groupStream(), this->recordId("batch", 0),
                             encode(GroupBatch { this->ownEpoch, 0, {} }));
}

void GroupOwner::beginOwnership(Instant now, const WorkView &view)
{
    this->currentPhase = Phase::Owning;
    this->pendingBatch.clear();
    this->batchSequence = this->state().stream().sequence();
    this->operationSequence = view.claims->ownershipOf(this->identity.group).lastOperation;
    this->groupSnapshotAt = now - this->durations.snapshotInterval;
    this->evidence = {};
    for (auto &[id, worker] : this->managed) {
        ManagedWorker reset;
        reset.listedLeaving = worker.listedLeaving;
        reset.missingSince = worker.missingSince;
        worker = std::move(reset);
    }
    for (const auto &[task, state] : this->state().tasks()) {
        for (const VmId &worker : state.failedOn) {
            this->evidence.recordFailure(task, worker);
        }
        if (state.open) {
            this->managed[state.worker].ledger.adopt({ task, state.lastAttempt }, state.need);
        }
    }
    for (auto &[id, worker] : this->managed) {
        worker.answeredAt = now;
    }
}

void GroupOwner::loseOwnership(TickContext &context)
{
    if (this->currentPhase == Phase::Owning) {
        context.actions.emplace_back(EventAction { Event::GroupLost, this->identity.group.name(),
                                                   "epoch " + std::to_string(this->ownEpoch) });
    }
    this->currentPhase = Phase::Idle;
    this->wanted = false;
    for (PendingAppend *pending :
         { &this->pendingClaim, &this->pendingBatch, &this->pendingOperation,
           &this->pendingGroupSnapshot, &this->pendingWorkSnapshot }) {
        pending->clear();
    }
    this->queue.clear();
    this->batchInFlight.clear();
    this->queuedIntents.clear();
    this->unconfirmed.clear();
    this->queuedEnds.clear();
    this->queuedCheckpoints.clear();
    this->returning.clear();
    this->unplacedSince.clear();
    this->failedAt.clear();
    this->urgentQueued = false;
}

void GroupOwner::queueEvent(Event event, const AttemptId &attempt, std::string_view detail)
{
    this->pendingEvents.push_back({ event,
                                    attempt.task.text() + '/' + std::to_string(attempt.attempt),
                                    std::string(detail) });
}

std::string GroupOwner::recordId(std::string_view kind, std::uint64_t number) const
{
    return this->identity.node.name() + '/' + this->identity.processId + '/'
            + this->identity.group.name() + '/' + std::string(kind) + '/'
            + std::to_string(this->ownEpoch) + '/' + std::to_string(number);
}

void GroupOwner::sendIfDue(PendingAppend &pending, TickContext &context) const
{
    if (auto append = pending.poll(context.now, this->durations.appendTimeout)) {
        context.actions.emplace_back(std::move(*append));
    }
}

} // namespace bulrush
