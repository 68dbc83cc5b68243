#include "standins/target/WorkerBooks.h"

#include <utility>

namespace bulrush::standins {

WorkerBooks::WorkerBooks(Resources capacity, std::string processIncarnation)
    : total(capacity)
    , incarnation(std::move(processIncarnation))
{
}

ExchangeAnswer WorkerBooks::exchange(const ExchangeRequest &request, UnixMs now)
{
    this->advance(now);
    const bool onlyRenews = request.token.sequence == 0;
    const bool accepted = onlyRenews || !this->lastToken || *this->lastToken < request.token;
    if (onlyRenews && this->isValid(request, now)) {
        this->renew(request.renew, now);
    } else if (accepted && !onlyRenews) {
        this->lastToken = request.token;
        this->apply(request, now);
        this->advance(now);
    }
    return { accepted, this->lastToken.value_or(FencingToken()), this->incarnation, now,
             this->inventory(now) };
}

bool WorkerBooks::isValid(const ExchangeRequest &request, UnixMs now) const
{
    const bool meansThis = request.incarnation.empty() || request.incarnation == this->incarnation;
    return meansThis && now <= request.validUntilMs;
}

void WorkerBooks::apply(const ExchangeRequest &request, UnixMs now)
{
    const bool valid = this->isValid(request, now);
    if (valid) {
        this->renew(request.renew, now);
    }
    for (const AttemptId &id : request.checkpoint) {
        if (TaskRun *run = this->find(id)) {
            run->takeCheckpoint();
        }
    }
    for (const ThrottleOrder &order : request.throttle) {
        if (TaskRun *run = this->find(order.id)) {
            run->throttle(order.percent);
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
            this->unforgotten.erase(id);
        }
    }
    for (const StartOrder &order : request.start) {
        if (valid) {
            this->start(order, request.token.epoch, now);
        }
    }
}

std::size_t WorkerBooks::renew(std::span<const RenewOrder> orders, UnixMs now)
{
    this->advance(now);
    std::size_t renewed = 0;
    for (const RenewOrder &order : orders) {
        TaskRun *run = this->find(order.id);
        if (run != nullptr && run->renew(order.leaseMs, now)) {
            ++renewed;
        }
    }
    return renewed;
}

void WorkerBooks::start(const StartOrder &order, std::uint64_t epoch, UnixMs now)
{
    if (this->indexes.contains(order.id)) {
        return;
    }
    Resources wanted = this->committed();
    wanted.add(order.resources);
    this->indexes.emplace(order.id, this->allRuns.size());
    this->unforgotten.insert(order.id);
    TaskRun &run = this->allRuns.emplace_back(order, epoch, now);
    if (!wanted.fitIn(this->total)) {
        ++this->refusedStarts;
        run.end(TaskState::Failed, "over capacity", now);
    } else if (this->failingStarts) {
        run.end(TaskState::Failed, "failed to start", now);
    }
}

std::vector<RunRecord> WorkerBooks::runs(UnixMs now)
{
    this->advance(now);
    std::vector<RunRecord> records;
    records.reserve(this->allRuns.size());
    for (const TaskRun &run : this->allRuns) {
        records.push_back(run.record());
    }
    return records;
}

void WorkerBooks::advance(UnixMs now)
{
    for (TaskRun &run : this->allRuns) {
        run.advance(now);
    }
}

TaskRun *WorkerBooks::find(const AttemptId &id)
{
    const auto found = this->indexes.find(id);
    return found == this->indexes.end() ? nullptr : &this->allRuns[found->second];
}

Resources WorkerBooks::committed() const
{
    Resources sum;
    for (const TaskRun &run : this->allRuns) {
        if (run.isRunning()) {
            sum.add(run.resources());
        }
    }
    return sum;
}

std::vector<InventoryEntry> WorkerBooks::inventory(UnixMs now) const
{
    std::vector<InventoryEntry> entries;
    for (const AttemptId &id : this->unforgotten) {
        entries.push_back(this->allRuns[this->indexes.at(id)].inventoryEntry(now));
    }
    return entries;
}

} // namespace bulrush::standins
