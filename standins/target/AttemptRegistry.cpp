#include "standins/target/AttemptRegistry.h"

#include <utility>

namespace bulrush::standins {

AttemptRegistry::AttemptRegistry(Resources capacity, std::string processIncarnation)
    : total(capacity)
    , incarnation(std::move(processIncarnation))
{
}

ExchangeAnswer AttemptRegistry::exchange(const ExchangeRequest &request, UnixMs now)
{
    this->advance(now);
    const bool renewOnly = request.token.sequence == 0;
    const bool accepted = renewOnly || !this->lastToken || *this->lastToken < request.token;
    if (renewOnly && this->isValid(request, now)) {
        this->renew(request.renew, now);
    } else if (accepted && !renewOnly) {
        this->lastToken = request.token;
        this->apply(request, now);
        this->advance(now);
    }
    return { accepted, this->lastToken.value_or(FencingToken()), this->incarnation, now,
             this->inventory(now) };
}

bool AttemptRegistry::isValid(const ExchangeRequest &request, UnixMs now) const
{
    const bool isForThisProcess =
            request.incarnation.empty() || request.incarnation == this->incarnation;
    return isForThisProcess && now <= request.validUntilMs;
}

void AttemptRegistry::apply(const ExchangeRequest &request, UnixMs now)
{
    const bool valid = this->isValid(request, now);
    if (valid) {
        this->renew(request.renew, now);
    }
    for (const AttemptId &id : request.checkpoint) {
        if (TaskRun *run = this->find(id)) {
            run->saveCheckpoint();
        }
    }
    for (const ThrottleCommand &command : request.throttle) {
        if (TaskRun *run = this->find(command.id)) {
            run->throttle(command.percent);
        }
    }
    for (const AttemptId &id : request.stop) {
        if (TaskRun *run = this->find(id)) {
            run->end(TaskState::Stopped, "stopped", now);
        }
    }
    for (const AttemptId &id : request.forget) {
        const TaskRun *run = this->find(id);
        if (run != nullptr && !run->isRunning()) {
            this->inventoryIds.erase(id);
        }
    }
    for (const StartCommand &command : request.start) {
        if (valid) {
            this->start(command, request.token.epoch, now);
        }
    }
}

std::size_t AttemptRegistry::renew(std::span<const RenewCommand> commands, UnixMs now)
{
    this->advance(now);
    std::size_t renewed = 0;
    for (const RenewCommand &command : commands) {
        TaskRun *run = this->find(command.id);
        if (run != nullptr && run->renew(command.leaseMs, now)) {
            ++renewed;
        }
    }
    return renewed;
}

void AttemptRegistry::start(const StartCommand &command, std::uint64_t epoch, UnixMs now)
{
    if (this->indexById.contains(command.id)) {
        return;
    }
    Resources required = this->committed();
    required.add(command.resources);
    this->indexById.emplace(command.id, this->allRuns.size());
    this->inventoryIds.insert(command.id);
    TaskRun &run = this->allRuns.emplace_back(command, epoch, now);
    if (!required.fitsIn(this->total)) {
        ++this->overCapacityStarts;
        run.end(TaskState::Failed, "over capacity", now);
    } else if (this->failingStarts) {
        run.end(TaskState::Failed, "failed to start", now);
    }
}

std::vector<RunRecord> AttemptRegistry::runs(UnixMs now)
{
    this->advance(now);
    std::vector<RunRecord> records;
    records.reserve(this->allRuns.size());
    for (const TaskRun &run : this->allRuns) {
        records.push_back(run.record());
    }
    return records;
}

void AttemptRegistry::advance(UnixMs now)
{
    for (TaskRun &run : this->allRuns) {
        run.advance(now);
    }
}

TaskRun *AttemptRegistry::find(const AttemptId &id)
{
    const auto found = this->indexById.find(id);
    return found == this->indexById.end() ? nullptr : &this->allRuns[found->second];
}

Resources AttemptRegistry::committed() const
{
    Resources sum;
    for (const TaskRun &run : this->allRuns) {
        if (run.isRunning()) {
            sum.add(run.resources());
        }
    }
    return sum;
}

std::vector<InventoryEntry> AttemptRegistry::inventory(UnixMs now) const
{
    std::vector<InventoryEntry> entries;
    for (const AttemptId &id : this->inventoryIds) {
        entries.push_back(this->allRuns[this->indexById.at(id)].inventoryEntry(now));
    }
    return entries;
}

} // namespace bulrush::standins
