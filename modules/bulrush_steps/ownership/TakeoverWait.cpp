#include "bulrush_steps/ownership/TakeoverWait.h"

#include "bulrush_core/events/DecisionLog.h"

#include <algorithm>

namespace bulrush {

namespace {

/** Interval at which a waiting owner logs what it waits for. */
constexpr milliseconds reportInterval { 1000 };

/** Maximum number of workers that a log line names. */
constexpr std::uint32_t maxNamedWorkers = 8;

/** Returns the names of the first workers. */
std::string namesOf(const std::set<TargetId> &workers)
{
    std::string names;
    std::uint32_t named = 0;
    for (const TargetId &id : workers) {
        if (named++ == maxNamedWorkers) {
            break;
        }
        names += names.empty() ? id.name() : " " + id.name();
    }
    return names;
}

} // namespace

TakeoverWait::TakeoverWait(const Clock &systemClock, DecisionLog &decisionLog,
                           Observer &waitObserver)
    : clock(systemClock)
    , decisions(decisionLog)
    , observer(waitObserver)
{
}

void TakeoverWait::begin(const StepJobTable &table, const OwnershipTerm &ownershipTerm)
{
    this->term = ownershipTerm;
    const std::vector<TargetId> &workers = table.roster().workers;
    this->unheardWorkers = { workers.begin(), workers.end() };
    this->beganAt = this->clock.now();
    this->nextReportAt = this->beganAt;
    this->leasesAreOver = false;
    this->ended = false;
    this->owners.begin(table.owners(), table.roster(), this->term);
    this->applyOwnerRecords(table);
}

void TakeoverWait::applyOwnerRecords(const StepJobTable &table)
{
    this->owners.recordsRemoved(table.owners());
    // Newest first: a resignation tells what was left of the waits for earlier owners.
    const std::map<std::uint64_t, Resignation> &resignations = table.resignations();
    for (auto at = resignations.rbegin(); at != resignations.rend(); ++at) {
        this->owners.resigned(at->second, this->clock.now(), this->term.resignedOwnerSettleTime);
    }
}

Resignation TakeoverWait::formerOwnerStopped(std::uint64_t fencingToken)
{
    return this->owners.stopped(fencingToken, this->clock.now(),
                                this->term.resignedOwnerSettleTime);
}

bool TakeoverWait::isOver() const
{
    return this->unheardWorkers.empty() || this->leasesAreOver;
}

bool TakeoverWait::holds(const StepSpec &step, const StepTask &task) const
{
    if (this->isOver()) {
        return false;
    }
    return !this->usesAssignments(step)
            || (task.assignedTo && this->unheardWorkers.contains(*task.assignedTo));
}

bool TakeoverWait::usesAssignments(const StepSpec &step) const
{
    return step.runsIndefinitely && this->owners.recordAssignments();
}

bool TakeoverWait::update(bool isSoleOwner)
{
    if (this->ended) {
        return false;
    }
    const Instant now = this->clock.now();
    this->leasesAreOver = isSoleOwner && now >= this->owners.settledAt();
    if (!this->isOver()) {
        this->report(now);
        return false;
    }
    this->ended = true;
    const auto waited = duration_cast<milliseconds>(now - this->beganAt).count();
    this->decisions.write(DecisionLine(Event::FormerOwnersSettled)
                                  .with("waited_ms", waited)
                                  .with("by", this->unheardWorkers.empty() ? "workers" : "time"));
    this->unheardWorkers.clear();
    this->observer.tasksHeld({});
    return true;
}

void TakeoverWait::report(Instant now)
{
    if (now < this->nextReportAt) {
        return;
    }
    this->nextReportAt = now + reportInterval;
    const auto waited = duration_cast<milliseconds>(now - this->beganAt).count();
    const Duration left = std::max(Duration::zero(), this->owners.settledAt() - now);
    const HeldTasks held = this->observer.heldTasks();
    this->observer.tasksHeld(held);
    const milliseconds vmListAge = this->observer.vmListAge().value_or(milliseconds(-1));
    this->decisions.write(
            DecisionLine(Event::FormerOwnersAwaited)
                    .with("waited_ms", waited)
                    .with("left_ms", duration_cast<milliseconds>(left).count())
                    .with("owners", this->remainingWaits().size())
                    .with("unsettled_workers", namesOf(this->unheardWorkers))
                    .with("worker_states", this->observer.statesOf(this->unheardWorkers))
                    .with("owner_states", this->owners.describe(now))
                    .with("held_tasks", held.all())
                    .with("held_for_own_worker", held.forOwnWorker)
                    .with("own_workers", namesOf(held.ownWorkers))
                    .with("own_worker_states", this->observer.statesOf(held.ownWorkers))
                    .with("vm_list_age_ms", vmListAge.count()));
}

std::vector<UnsettledOwner> TakeoverWait::remainingWaits() const
{
    return this->isOver() ? std::vector<UnsettledOwner>()
                          : this->owners.remainingWaits(this->clock.now());
}

std::vector<OwnerRecord> TakeoverWait::awaitedOwners() const
{
    return this->isOver() ? std::vector<OwnerRecord>()
                          : this->owners.awaitedOwners(this->clock.now());
}

std::vector<OwnerRecord> TakeoverWait::ownersToAsk() const
{
    return this->isOver() ? std::vector<OwnerRecord>()
                          : this->owners.ownersToAsk(this->clock.now());
}

} // namespace bulrush
