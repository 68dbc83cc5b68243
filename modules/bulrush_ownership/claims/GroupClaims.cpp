#include "bulrush_ownership/claims/GroupClaims.h"

#include <algorithm>

namespace bulrush {

void GroupClaims::read(std::uint64_t /*offset*/, std::string_view payload)
{
    const WorkRecord record = decodeWorkRecord(payload);
    if (const auto *claim = std::get_if<GroupClaim>(&record)) {
        this->apply(*claim);
    } else if (const auto *operation = std::get_if<GroupOperation>(&record)) {
        this->apply(*operation);
    } else if (const auto *header = std::get_if<SnapshotHeader>(&record)) {
        this->snapshotOffset = std::max(this->snapshotOffset, header->asOf);
    }
}

void GroupClaims::apply(const GroupClaim &claim)
{
    GroupOwnership &owner = this->owners[claim.group];
    const bool next = claim.epoch == owner.epoch + 1;
    if (!next && this->guards.claimNeedsNextEpoch) {
        return;
    }
    owner = { claim.node, claim.epoch, claim.id, 0 };
}

void GroupClaims::apply(const GroupOperation &operation)
{
    GroupOwnership &owner = this->owners[operation.group];
    if (operation.epoch != owner.epoch && this->guards.operationNeedsEpoch) {
        return;
    }
    if (operation.sequence <= owner.lastOperation && this->guards.operationNeedsSequence) {
        return;
    }
    owner.lastOperation = operation.sequence;
    for (const WorkItem &item : operation.items) {
        this->apply(operation.group, item);
    }
}

void GroupClaims::apply(const GroupId &group, const WorkItem &item)
{
    switch (item.change) {
    case WorkChange::ClaimTasks:
        this->claimTasks(group, item);
        break;
    case WorkChange::ReturnTasks:
    case WorkChange::CompleteTasks:
        this->releaseTasks(group, item);
        break;
    case WorkChange::RevokeWorker:
        this->revoked.insert(item.worker);
        break;
    case WorkChange::RestoreWorker:
        this->revoked.erase(item.worker);
        break;
    }
}

void GroupClaims::claimTasks(const GroupId &group, const WorkItem &item)
{
    if (item.first > item.last) {
        return;
    }
    if (!this->isFree(item.job, item.first, item.last) && this->guards.rangesDisjoint) {
        return;
    }
    this->insertRange(item.job, item.first, { item.last, group, false });
}

void GroupClaims::insertRange(const JobId &job, std::uint32_t first, const HeldRange &range)
{
    this->ranges[job][first] = range;
    if (!range.complete) {
        this->unfinished[range.group].insert({ job, first });
    }
}

void GroupClaims::releaseTasks(const GroupId &group, const WorkItem &item)
{
    JobRanges &held = this->ranges[item.job];
    auto range = held.upper_bound(item.first);
    if (range == held.begin()) {
        return;
    }
    --range;
    const HeldRange enclosing = range->second;
    if (enclosing.group != group || enclosing.complete || enclosing.last < item.last) {
        return;
    }
    const std::uint32_t enclosingFirst = range->first;
    held.erase(range);
    this->unfinished[group].erase({ item.job, enclosingFirst });
    if (enclosingFirst < item.first) {
        this->insertRange(item.job, enclosingFirst, { item.first - 1, group, false });
    }
    if (item.last < enclosing.last) {
        this->insertRange(item.job, item.last + 1, { enclosing.last, group, false });
    }
    this->forgetCarried(item);
    if (item.change == WorkChange::CompleteTasks) {
        this->insertRange(item.job, item.first, { item.last, group, true });
        this->mergeCompleted(held, held.find(item.first));
    } else if (item.attempt > 0) {
        this->carriedTasks[{ item.job, item.first }] = { item.attempt, item.checkpoint };
    }
}

void GroupClaims::forgetCarried(const WorkItem &item)
{
    const auto first = this->carriedTasks.lower_bound({ item.job, item.first });
    const auto end = this->carriedTasks.upper_bound({ item.job, item.last });
    this->carriedTasks.erase(first, end);
}

void GroupClaims::mergeCompleted(JobRanges &held, JobRanges::iterator range)
{
    if (range != held.begin()) {
        const auto before = std::prev(range);
        if (before->second.complete && before->second.last + 1 == range->first) {
            before->second.last = range->second.last;
            held.erase(range);
            range = before;
        }
    }
    const auto after = std::next(range);
    if (after != held.end() && after->second.complete && range->second.last + 1 == after->first) {
        range->second.last = after->second.last;
        held.erase(after);
    }
}

bool GroupClaims::isFree(const JobId &job, std::uint32_t first, std::uint32_t last) const
{
    const auto found = this->ranges.find(job);
    if (found == this->ranges.end()) {
        return true;
    }
    const auto overlaps = [first, last](const auto &held) {
        return held.first <= last && held.second.last >= first;
    };
    return std::none_of(found->second.begin(), found->second.end(), overlaps);
}

GroupOwnership GroupClaims::ownershipOf(const GroupId &group) const
{
    const auto found = this->owners.find(group);
    return found == this->owners.end() ? GroupOwnership {} : found->second;
}

std::vector<GroupId> GroupClaims::groupsOf(const NodeId &node) const
{
    std::vector<GroupId> groups;
    for (const auto &[group, owner] : this->owners) {
        if (owner.node == node) {
            groups.push_back(group);
        }
    }
    return groups;
}

std::vector<TaskRange> GroupClaims::rangesOf(const GroupId &group) const
{
    std::vector<TaskRange> result;
    const auto held = this->unfinished.find(group);
    if (held == this->unfinished.end()) {
        return result;
    }
    for (const auto &[job, first] : held->second) {
        result.push_back({ job, first, this->ranges.at(job).at(first).last });
    }
    return result;
}

std::optional<GroupId> GroupClaims::holderOf(const JobId &job, std::uint32_t index) const
{
    const auto found = this->ranges.find(job);
    if (found == this->ranges.end()) {
        return std::nullopt;
    }
    auto range = found->second.upper_bound(index);
    if (range == found->second.begin() || (--range)->second.last < index) {
        return std::nullopt;
    }
    return range->second.group;
}

std::optional<TaskRange> GroupClaims::freeRange(const JobId &job, std::uint32_t taskCount,
                                                std::uint32_t limit, std::uint32_t from) const
{
    std::uint32_t first = from;
    std::uint32_t end = taskCount;
    const auto found = this->ranges.find(job);
    if (found != this->ranges.end()) {
        auto range = found->second.upper_bound(first);
        if (range != found->second.begin() && std::prev(range)->second.last >= first) {
            first = std::prev(range)->second.last + 1;
        }
        while (range != found->second.end() && range->first == first) {
            first = range->second.last + 1;
            ++range;
        }
        end = range == found->second.end() ? taskCount : std::min(end, range->first);
    }
    if (first < end && limit > 0) {
        return TaskRange { job, first, std::min(end, first + limit) - 1 };
    }
    return from == 0 ? std::nullopt : this->freeRange(job, taskCount, limit, 0);
}

std::map<JobId, std::uint32_t> GroupClaims::heldTaskCounts() const
{
    std::map<JobId, std::uint32_t> held;
    for (const auto &[group, firsts] : this->unfinished) {
        for (const auto &[job, first] : firsts) {
            held[job] += this->ranges.at(job).at(first).last - first + 1;
        }
    }
    return held;
}

bool GroupClaims::isComplete(const JobId &job, std::uint32_t taskCount) const
{
    const auto found = this->ranges.find(job);
    if (found == this->ranges.end() || found->second.empty()) {
        return false;
    }
    const auto &[first, range] = *found->second.begin();
    return first == 0 && range.complete && range.last + 1 >= taskCount;
}

CarriedTask GroupClaims::carriedTaskOf(const JobId &job, std::uint32_t index) const
{
    const auto found = this->carriedTasks.find({ job, index });
    return found == this->carriedTasks.end() ? CarriedTask {} : found->second;
}

} // namespace bulrush
