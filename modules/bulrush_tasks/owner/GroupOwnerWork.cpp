#include "bulrush_tasks/owner/GroupOwner.h"

#include <algorithm>
#include <functional>

namespace bulrush {

namespace {

/** The maximum number of changes in an operation. */
constexpr std::size_t maxOperationItems = 128;

/** The maximum number of tasks of one job that a group claims at a time. */
constexpr std::uint32_t maxClaimedTasks = 32;

std::uint32_t countWithinQuota(const Resources &need, const Resources &used, const Resources *quota,
                               std::uint32_t wanted)
{
    if (quota == nullptr) {
        return wanted;
    }
    std::uint32_t allowed = 0;
    Resources total = used + need;
    while (allowed < wanted && total.fitsIn(*quota)) {
        total += need;
        ++allowed;
    }
    return allowed;
}

} // namespace

void GroupOwner::appendOperation(TickContext &context)
{
    if (!context.view.usable) {
        return;
    }
    const GroupOwnership ownership = context.view.claims->ownershipOf(this->identity.group);
    if (this->pendingOperation.isActive()) {
        if (ownership.lastOperation < this->operationSequence) {
            this->sendIfDue(this->pendingOperation, context);
            return;
        }
        this->pendingOperation.clear();
        this->returning.clear();
    }
    std::vector<WorkItem> items;
    this->addWorkerChanges(items, context);
    const bool due = context.now - this->lastOperationAt >= this->durations.operationInterval;
    if (due) {
        this->addFinishedRanges(items, context);
        this->addReturns(items, context);
        this->lastOperationAt = context.now;
    }
    this->addClaims(items, context, !due);
    if (items.empty()) {
        return;
    }
    const GroupOperation operation { this->identity.group, this->ownEpoch,
                                     ++this->operationSequence, std::move(items) };
    this->pendingOperation.start(workStream, this->recordId("operation", this->operationSequence),
                                 encode(operation));
    this->sendIfDue(this->pendingOperation, context);
}

bool GroupOwner::isAnyRunning(const VmId &id) const
{
    const auto &attempts = this->managed.at(id).ledger.attempts();
    return std::any_of(attempts.begin(), attempts.end(),
                       [this](const auto &held) { return this->state().isOpen(held.first); });
}

void GroupOwner::addWorkerChanges(std::vector<WorkItem> &items, const TickContext &context) const
{
    for (const auto &[id, worker] : this->managed) {
        const bool revoked = context.view.claims->isRevoked(id);
        const bool silent = context.now - worker.answeredAt > this->durations.silence;
        if (!revoked && silent && this->isAnyRunning(id)) {
            items.push_back({ WorkChange::RevokeWorker, {}, 0, 0, 0, {}, id });
        } else if (revoked && !silent && worker.ledger.isKnown()) {
            items.push_back({ WorkChange::RestoreWorker, {}, 0, 0, 0, {}, id });
        }
    }
}

bool GroupOwner::isCompleted(const TaskId &task, const TickContext &context) const
{
    const TaskState *state = this->state().find(task);
    if (state != nullptr && state->final) {
        return true;
    }
    const bool started = (state != nullptr && state->open) || this->queuedIntents.contains(task);
    return context.jobs.isCancelled(task.job) && !started;
}

void GroupOwner::addFinishedRanges(std::vector<WorkItem> &items, const TickContext &context) const
{
    for (const TaskRange &range : context.view.claims->rangesOf(this->identity.group)) {
        bool completed = true;
        for (std::uint32_t index = range.first; index <= range.last && completed; ++index) {
            completed = this->isCompleted({ range.job, index }, context);
        }
        if (completed && items.size() < maxOperationItems) {
            items.push_back(
                    { WorkChange::CompleteTasks, range.job, range.first, range.last, 0, {}, {} });
        }
    }
}

/** Returns tasks that have fitted on no worker of this group for Durations::returnAfter, so that
    other groups can run them. */
void GroupOwner::addReturns(std::vector<WorkItem> &items, TickContext &context)
{
    for (const auto &[task, since] : this->unplacedSince) {
        if (items.size() >= maxOperationItems) {
            return;
        }
        if (context.now - since < this->durations.returnAfter || !this->isPending(task, context)) {
            continue;
        }
        if (const auto item = this->returnItem(task, context)) {
            items.push_back(*item);
            this->returning.insert(task);
        }
    }
}

std::optional<WorkItem> GroupOwner::returnItem(const TaskId &task, const TickContext &context) const
{
    const std::optional<GroupId> holder = context.view.claims->holderOf(task.job, task.index);
    if (holder != this->identity.group) {
        return std::nullopt;
    }
    const CarriedTask carried = context.view.claims->carriedTaskOf(task.job, task.index);
    WorkItem item { WorkChange::ReturnTasks, task.job,           task.index, task.index,
                    carried.attempt,         carried.checkpoint, {} };
    const TaskState *state = this->state().find(task);
    if (state != nullptr && state->lastAttempt >= carried.attempt) {
        item.attempt = state->lastAttempt;
        item.checkpoint = state->checkpoint;
    }
    return item;
}

//==============================================================================
std::map<TeamId, Resources> GroupOwner::teamUsage(const TickContext &context) const
{
    std::map<TeamId, Resources> usage;
    for (const auto &[job, count] : context.view.claims->heldTaskCounts()) {
        const JobSpec *spec = context.jobs.find(job);
        if (spec == nullptr) {
            continue;
        }
        Resources &team = usage[spec->team];
        team.cpuMilli += spec->need.cpuMilli * count;
        team.memoryMb += spec->need.memoryMb * count;
        team.accelerators += spec->need.accelerators * count;
    }
    return usage;
}

/** Each group considers its own share of the jobs first, so that groups with the same backlog do
    not all claim the same tasks. */
void GroupOwner::addClaims(std::vector<WorkItem> &items, TickContext &context, bool urgentOnly)
{
    std::vector<PlacementCandidate> candidates = this->candidates(context);
    if (candidates.empty()) {
        return;
    }
    ClaimPass pass { std::move(candidates), this->teamUsage(context), this->capacities(), {} };
    const std::size_t groupCount = std::max<std::size_t>(context.view.claims->groupCount(), 1);
    const std::size_t ownShare = std::hash<GroupId>()(this->identity.group) % groupCount;
    for (const bool ownJobs : { true, false }) {
        context.jobs.visit(urgentOnly, [&](const JobSpec &spec) {
            const bool own = std::hash<JobId>()(spec.job) % groupCount == ownShare;
            if (own != ownJobs) {
                return true;
            }
            if (!pass.fitsAnyCapacity(spec.need)) {
                this->reportCannotRun(spec, pass.capacities, context);
            } else if (auto item = this->claimItem(spec, context, pass)) {
                items.push_back(std::move(*item));
            }
            return !pass.isFull() && items.size() < maxOperationItems;
        });
    }
}

/** Returns a claim of as many tasks of a job as fit into the free resources and the quota of its
    team. */
std::optional<WorkItem> GroupOwner::claimItem(const JobSpec &spec, const TickContext &context,
                                              ClaimPass &pass) const
{
    if (pass.isKnownUnplaceable(spec.need) || context.jobs.isCancelled(spec.job)) {
        return std::nullopt;
    }
    const std::uint32_t parts = (spec.taskCount + maxClaimedTasks - 1) / maxClaimedTasks;
    const auto part = static_cast<std::uint32_t>(std::hash<GroupId>()(this->identity.group)
                                                 % std::max(parts, 1U));
    const auto free = context.view.claims->freeRange(spec.job, spec.taskCount, maxClaimedTasks,
                                                     part * maxClaimedTasks);
    if (!free) {
        return std::nullopt;
    }
    const Resources *quota = context.jobs.quotaOf(spec.team);
    Resources &used = pass.usage[spec.team];
    const std::uint32_t limit =
            countWithinQuota(spec.need, used, quota, free->last - free->first + 1);
    const std::uint32_t count = pass.reserve(spec.need, limit);
    if (count == 0) {
        if (limit > 0) {
            pass.unplaceableNeeds.push_back(spec.need);
        }
        return std::nullopt;
    }
    for (std::uint32_t taken = 0; taken < count; ++taken) {
        used += spec.need;
    }
    return WorkItem {
        WorkChange::ClaimTasks, spec.job, free->first, free->first + count - 1, 0, {}, {}
    };
}

std::vector<Resources> GroupOwner::capacities() const
{
    std::vector<Resources> result;
    for (const auto &[id, worker] : this->managed) {
        if (!worker.ledger.isKnown()) {
            return {};
        }
        result.push_back(worker.ledger.capacity());
    }
    return result;
}

/** Reports once that the tasks of a job fit on no worker of the group, and what is missing. */
void GroupOwner::reportCannotRun(const JobSpec &spec, const std::vector<Resources> &capacities,
                                 TickContext &context)
{
    if (this->cannotRunReported.insert(spec.job).second) {
        context.actions.emplace_back(
                EventAction { Event::JobCannotRun, this->identity.group.name(),
                              spec.job.name() + ": " + describeShortfall(spec.need, capacities) });
    }
}

} // namespace bulrush
