// The part of Dispatcher that obeys evacuation requests.

#include "bulrush_steps/dispatch/Dispatcher.h"

#include "bulrush_core/events/DecisionLog.h"
#include "bulrush_steps/policy/JobRank.h"

#include <algorithm>
#include <utility>

namespace bulrush {

namespace {

/** Interval at which runs are looked for that are to be moved. */
constexpr milliseconds moveInterval { 200 };

/** A longer time between two ticks means that this process was paused. */
constexpr milliseconds maxTickGap { 500 };

/** How many runs without room elsewhere are passed over at a time. */
constexpr int maxUnmovable = 4;

} // namespace

void Dispatcher::followEvacuations(const EvacuationRequests &requests)
{
    this->evacuations = this->settings.hasEvacuations() ? &requests : nullptr;
}

void Dispatcher::workerListed(const WorkerEntry &entry)
{
    this->workerManager.workerListed(entry);
    Worker *worker = this->workerManager.find(entry.worker);
    if (this->evacuations == nullptr || worker == nullptr) {
        return;
    }
    worker->evacuated = this->evacuations->isEvacuated(entry.dataCentre);
    const PoolPolicy *pool = this->serving.pool(entry.service);
    milliseconds left = entry.coldLeft;
    ColdStartRate rate;
    if (pool != nullptr) {
        left = pool->coldDuration.count() > 0 ? std::min(left, pool->coldDuration) : left;
        rate = { pool->coldStartsPerSecond * this->settings.coldStartFactor,
                 this->settings.coldStartBurst };
    }
    worker->coldStarts.setCold(this->clock.now() + left, rate);
}

StartBlock Dispatcher::startBlock() const
{
    if (this->evacuations == nullptr) {
        return StartBlock::None;
    }
    // While the process was paused, the store's silence means nothing.
    const EvacuationView view { this->begunAt,
                                std::max(this->listener.storeAnsweredAt(), this->resumedAt) };
    return this->evacuationGate.block(*this->evacuations, view, this->clock.now());
}

bool Dispatcher::maySendStarts() const
{
    return this->mayCommand() && this->startBlock() == StartBlock::None;
}

void Dispatcher::followEvacuationRequests(Instant now)
{
    if (this->evacuations == nullptr) {
        return;
    }
    if (now - std::exchange(this->tickedAt, now) > maxTickGap) {
        this->resumedAt = now;
    }
    this->reportStartBlock(now);
    if (this->appliedEvacuations == this->evacuations->version()) {
        return;
    }
    this->appliedEvacuations = this->evacuations->version();
    for (auto &[id, worker] : this->workerManager.workers()) {
        worker.evacuated = this->evacuations->isEvacuated(worker.entry.dataCentre);
    }
}

void Dispatcher::reportStartBlock(Instant now)
{
    const StartBlock block = this->startBlock();
    if (block == this->reportedBlock) {
        return;
    }
    if (block == StartBlock::None) {
        const Duration held = now - this->blockedSince;
        this->decisions.write(DecisionLine(Event::StartsResumed)
                                      .with("held_ms", duration_cast<milliseconds>(held).count()));
    } else {
        this->blockedSince = this->reportedBlock == StartBlock::None ? now : this->blockedSince;
        const std::optional<Instant> &readAt = this->evacuations->lastReadToEnd();
        constexpr std::int64_t neverRead = -1;
        this->decisions.write(
                DecisionLine(Event::StartsWithheld)
                        .with("reason", text(block))
                        .with("read_age_ms",
                              readAt ? duration_cast<milliseconds>(now - *readAt).count()
                                     : neverRead));
    }
    this->reportedBlock = block;
}

std::uint32_t Dispatcher::movingTasks(const StepRef &step) const
{
    return static_cast<std::uint32_t>(
            std::count_if(this->movingSince.begin(), this->movingSince.end(),
                          [&step](const auto &each) { return each.first.stepRef() == step; }));
}

std::vector<EvacuatedRun> Dispatcher::evacuatedRuns(std::vector<RunToMove> &found)
{
    struct Step
    {
        std::size_t number = 0;
        std::uint32_t unavailable = 0;
    };
    std::map<StepRef, Step> steps;
    std::vector<EvacuatedRun> runs;
    for (auto &[id, worker] : this->workerManager.workers()) {
        for (auto &[attempt, run] : worker.runs) {
            const JobEntry *job = run.runsIndefinitely && run.fillCpuMilli == 0
                    ? this->findJob(attempt.task)
                    : nullptr;
            if (job == nullptr || job->hasEnded()) {
                continue;
            }
            const auto [step, added] =
                    steps.try_emplace(attempt.task.stepRef(), Step { steps.size(), 0 });
            if (added) {
                const OccurrenceState &state = job->occurrences.at(attempt.task.occurrence);
                step->second.unavailable = state.steps.at(attempt.task.step).tasks.open();
            }
            const bool atWork = run.phase == RunPhase::Running && !run.stopRequested
                    && !run.mayHaveEnded && worker.confirmed;
            step->second.unavailable += atWork ? 0 : 1;
            if (worker.evacuated && run.phase == RunPhase::Running && !run.stopRequested
                && !run.mayHaveEnded) {
                const StepSpec &spec = job->step(attempt.task);
                runs.push_back({ found.size(), step->second.number, spec.gang,
                                 spec.maxConcurrentDisruptions, 0, run.placedAt });
                found.push_back({ &worker, attempt });
            }
        }
    }
    for (EvacuatedRun &run : runs) {
        run.unavailable = steps.at(found[run.run].attempt.task.stepRef()).unavailable;
    }
    return runs;
}

void Dispatcher::moveRunsOut(Instant now)
{
    std::erase_if(this->movingSince, [this, now](const auto &each) {
        const JobEntry *job = this->findJob(each.first);
        return job == nullptr || job->hasEnded() || now - each.second > maxRestartWait;
    });
    if (this->evacuations == nullptr || this->evacuations->all().empty() || now < this->nextMoves) {
        return;
    }
    this->nextMoves = now + moveInterval;
    this->moveWaitsForCapacity = false;
    const EvacuationState state { this->workerManager.workers().size(), this->movingSince.size(),
                                  this->planner.endingTasksWait() };
    if (!this->mayPreempt() || this->startBlock() != StartBlock::None) {
        return;
    }
    std::vector<RunToMove> found;
    const std::vector<EvacuatedRun> runs = this->evacuatedRuns(found);
    std::size_t allowed = EvacuationMoves::allowed(state);
    this->moveWaitsForCapacity = !runs.empty() && state.endingTasksWait;
    int unmovable = 0;
    for (const EvacuatedRun &each : EvacuationMoves::candidates(state, runs)) {
        const RunToMove &move = found[each.run];
        JobEntry &job = *this->findJob(move.attempt.task);
        if (allowed == 0 || unmovable == maxUnmovable) {
            return;
        }
        if (!this->planner.reserveForMove(job, move.attempt.task, now)) {
            this->moveWaitsForCapacity = true;
            ++unmovable;
            continue;
        }
        --allowed;
        ++this->movedTasks;
        this->movingSince[move.attempt.task] = now;
        this->stopRun(*move.worker, move.worker->runs.at(move.attempt),
                      "its data centre is being evacuated");
    }
}

void Dispatcher::stopGang(const JobEntry &job, const StepRef &gang)
{
    this->workerManager.forEachRun(job.spec.id, [this, &gang](Worker &worker, Run &run) {
        if (run.attempt.task.stepRef() == gang) {
            this->stopRun(worker, run,
                          "a member of its gang was to start in an evacuated "
                          "data centre");
        }
    });
}

EvacuationLoad Dispatcher::evacuationLoad() const
{
    EvacuationLoad load;
    load.moving = this->movingSince.size();
    load.moved = this->movedTasks;
    load.waitsForCapacity = this->moveWaitsForCapacity;
    for (const auto &[id, worker] : this->workerManager.workers()) {
        if (!worker.evacuated) {
            continue;
        }
        load.runs += worker.runs.size();
        load.longRunning += static_cast<std::size_t>(
                std::count_if(worker.runs.begin(), worker.runs.end(), [](const auto &each) {
                    return each.second.runsIndefinitely && each.second.fillCpuMilli == 0;
                }));
    }
    return load;
}

} // namespace bulrush
