// The part of Dispatcher that deals with what former owners have left, and with workers that may
// have ended.

#include "bulrush_steps/dispatch/Dispatcher.h"

#include "bulrush_core/events/DecisionLog.h"

#include <algorithm>

namespace bulrush {

std::optional<Resignation> Dispatcher::resignation() const
{
    if (!this->isActive) {
        return std::nullopt;
    }
    return Resignation { this->term.fencingToken, this->takeoverWait.remainingWaits() };
}

bool Dispatcher::mayStart(const JobEntry &job) const
{
    if (!job.knownToPreviousOwners || this->takeoverWait.isOver()) {
        return true;
    }
    return std::any_of(job.spec.steps.begin(), job.spec.steps.end(), [this](const StepSpec &step) {
        return this->takeoverWait.usesAssignments(step);
    });
}

bool Dispatcher::mayStart(const JobEntry &job, const StepSpec &step, const StepTask &task) const
{
    return !job.knownToPreviousOwners || !this->takeoverWait.holds(step, task);
}

HeldTasks Dispatcher::heldTasks() const
{
    HeldTasks held;
    for (const auto &[id, job] : this->jobTable.entries()) {
        if (!job.hasEnded()) {
            this->countHeldTasks(job, held);
        }
    }
    return held;
}

void Dispatcher::countHeldTasks(const JobEntry &job, HeldTasks &held) const
{
    for (std::uint32_t occurrence = job.occurrences.firstOpen();
         occurrence < job.occurrences.size() && job.isDue(occurrence, this->clock); ++occurrence) {
        const std::vector<StepState> &steps = job.occurrences.at(occurrence).steps;
        for (std::uint32_t step = 0; step < steps.size(); ++step) {
            if (!job.dependenciesMet(occurrence, step)) {
                continue;
            }
            const StepSpec &spec = job.spec.steps[step];
            const bool forOwnWorker = this->takeoverWait.usesAssignments(spec);
            steps[step].tasks.forEachOpen([&](std::uint32_t /*index*/, const StepTask &task) {
                if (this->mayStart(job, spec, task)) {
                    return;
                }
                ++(forOwnWorker ? held.forOwnWorker : held.forAllWorkers);
                if (forOwnWorker && task.assignedTo) {
                    held.ownWorkers.insert(*task.assignedTo);
                }
            });
        }
    }
}

std::string Dispatcher::statesOf(const std::set<TargetId> &workers) const
{
    std::size_t unlisted = 0;
    std::size_t unasked = 0;
    std::size_t silent = 0;
    for (const TargetId &id : workers) {
        const auto found = this->workerManager.workers().find(id);
        const bool known = found != this->workerManager.workers().end() && found->second.listed;
        unlisted += known ? 0 : 1;
        silent += known && found->second.failedHolds > 0 ? 1 : 0;
        unasked += known && found->second.failedHolds == 0 ? 1 : 0;
    }
    return "unlisted:" + std::to_string(unlisted) + " silent:" + std::to_string(silent)
            + " unasked:" + std::to_string(unasked);
}

void Dispatcher::workerKnown(const TargetId &worker)
{
    this->takeoverWait.workerKnown(worker);
    const auto assigned = this->formerAssignments.extract(worker);
    if (assigned) {
        for (const TaskRef &ref : assigned.mapped()) {
            this->recordNoRun(ref, worker);
        }
    }
}

std::vector<OwnerRecord> Dispatcher::formerOwnersToAsk() const
{
    return this->isActive ? this->takeoverWait.ownersToAsk() : std::vector<OwnerRecord>();
}

Resignation Dispatcher::formerOwnerStopped(std::uint64_t fencingToken)
{
    return this->takeoverWait.formerOwnerStopped(fencingToken);
}

std::string Dispatcher::rosterRecord()
{
    return records::encode(Roster { this->roster.workersToSend(), this->term.fencingToken,
                                    this->takeoverWait.awaitedOwners(), true });
}

void Dispatcher::findEndedWorkers()
{
    // Workers that have not answered this owner yet, and silent ones that have runs.
    std::set<TargetId> silent = this->takeoverWait.workersToHearFrom();
    for (const TargetId &id : this->workerManager.silentWorkers()) {
        const Worker *worker = this->workerManager.find(id);
        const bool hasRuns = worker != nullptr
                && (!worker->runs.empty() || !worker->runsExpiredInSilence.empty());
        if (hasRuns) {
            silent.insert(id);
        }
    }
    this->endedWorkers.tick(silent);
}

void Dispatcher::workerEnded(const TargetId &worker)
{
    this->decisions.write(DecisionLine(Event::WorkerEnded).with("worker", worker.name()));
    this->workerManager.workerEnded(worker);
}

bool Dispatcher::isCredible(const WorkerProcesses &processes) const
{
    // A worker that has just joined may not be in the list yet.
    std::size_t shown = 0;
    std::size_t missing = 0;
    for (const auto &[id, worker] : this->workerManager.workers()) {
        if (worker.confirmed) {
            ++(processes.running.contains(id) ? shown : missing);
        }
    }
    return !processes.running.empty() && shown >= missing;
}

void Dispatcher::removeRecordsOfFormerOwners()
{
    if (!this->changeBeforeRemoval || *this->changeBeforeRemoval > this->writer.storedChange()) {
        return;
    }
    this->changeBeforeRemoval.reset();
    std::vector<KeyedRecord> removals;
    for (const auto &[token, owner] : this->jobTable.owners()) {
        if (token < this->term.fencingToken) {
            removals.push_back({ records::ownerKey(token), {}, 0 });
        }
    }
    for (const auto &[token, resignation] : this->jobTable.resignations()) {
        if (token < this->term.fencingToken) {
            removals.push_back({ records::resignationKey(token), {}, 0 });
        }
    }
    if (!removals.empty()) {
        this->listener.recordsObsolete(removals);
    }
}

} // namespace bulrush
