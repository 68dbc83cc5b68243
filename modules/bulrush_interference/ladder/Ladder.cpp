#include "bulrush_interference/ladder/Ladder.h"

#include "bulrush_core/errors/Error.h"

#include <algorithm>
#include <cmath>

namespace bulrush::interference {

namespace {

/** The part of tail latency when all three measures count alike. */
constexpr double evenWeight = 1.0 / 3.0;

/** Bounds the patience of operators to whom tail latency hardly matters. */
constexpr double smallestTailWeight = 0.1;

/** Tasks in the order in which they are to give way. */
struct Suspect
{
    const LadderTask *task;
    double harm;
};

bool givesWayBefore(const Suspect &left, const Suspect &right)
{
    if (left.task->isUrgent != right.task->isUrgent) {
        return right.task->isUrgent;
    }
    if (left.task->isWatcher != right.task->isWatcher) {
        return right.task->isWatcher;
    }
    if (left.harm != right.harm) {
        return left.harm > right.harm;
    }
    return left.task->job < right.task->job;
}

} // namespace

bool LadderSettings::isValid() const
{
    const bool ordered = 1 <= this->calmSlowdown && this->calmSlowdown < this->tolerableSlowdown
            && this->tolerableSlowdown <= this->severeSlowdown;
    const bool budgeted = this->moveBurst >= 0 && this->evictionBurst >= 0;
    return ordered && budgeted && this->hysteresis > this->measurementLag;
}

LadderSettings LadderSettings::from(const PolicyWeights &weights)
{
    const PolicyWeights parts = weights.normalised();
    LadderSettings settings;
    const double patience = std::sqrt(evenWeight / std::max(parts.tailLatency, smallestTailWeight));
    settings.calmSlowdown = 1 + 0.3 * patience;
    settings.tolerableSlowdown = 1 + 0.6 * patience;
    settings.severeSlowdown = 1 + 1.5 * patience * (1 + parts.evictions);
    return settings;
}

Ladder::Ladder(const LadderSettings &settings)
    : settings(settings)
    , moves(settings.moveBurst, settings.moveInterval)
    , evictions(settings.evictionBurst, settings.evictionInterval)
{
    if (!settings.isValid()) {
        throw Error("set up the ladder", "", "the hysteresis must be longer than the lag");
    }
}

std::vector<LadderAction> Ladder::decide(const WorkerPressure &pressure,
                                         std::span<const LadderTask> tasks,
                                         const PairEstimates &estimates, Instant now)
{
    WorkerState &state = this->workers[pressure.worker];
    const bool isCalm = pressure.slowdown < this->settings.calmSlowdown;
    if (isCalm && !state.isCalm) {
        state.calmSince = now;
    }
    state.isCalm = isCalm;
    if (!this->isSettled(state, pressure, now)) {
        return {};
    }
    if (pressure.slowdown > this->settings.tolerableSlowdown) {
        return this->stepUp(state, pressure, tasks, estimates, now);
    }
    if (isCalm && now - state.calmSince >= this->settings.hysteresis) {
        return this->stepDown(state, pressure, tasks, now);
    }
    return {};
}

Rung Ladder::rung(const JobId &job) const
{
    const auto found = this->rungs.find(job);
    return found == this->rungs.end() ? Rung::Free : found->second;
}

void Ladder::forget(const JobId &job)
{
    this->rungs.erase(job);
}

void Ladder::forgetWorker(const VmId &worker)
{
    this->workers.erase(worker);
}

bool Ladder::isSettled(const WorkerState &state, const WorkerPressure &pressure, Instant now) const
{
    if (!state.hasActed) {
        return true;
    }
    const bool measuredAfter = pressure.measuredAt > state.lastActionAt;
    return measuredAfter && now - state.lastActionAt >= this->settings.hysteresis;
}

std::vector<LadderAction> Ladder::stepUp(WorkerState &state, const WorkerPressure &pressure,
                                         std::span<const LadderTask> tasks,
                                         const PairEstimates &estimates, Instant now)
{
    std::vector<Suspect> suspects;
    for (const LadderTask &task : tasks) {
        const double harm = estimates.expectedHarm(pressure.service, task.batchClass, now);
        if (harm * task.share >= this->settings.leastContribution) {
            suspects.push_back({ &task, harm * task.share });
        }
    }
    std::sort(suspects.begin(), suspects.end(), givesWayBefore);
    for (const Suspect &suspect : suspects) {
        auto actions = this->stepUpTask(state, pressure, *suspect.task, now);
        if (!actions.empty()) {
            return actions;
        }
    }
    return {};
}

std::vector<LadderAction> Ladder::stepUpTask(WorkerState &state, const WorkerPressure &pressure,
                                             const LadderTask &task, Instant now)
{
    struct Transition
    {
        Rung from;
        Rung to;
        LadderActionKind kind;
        Step isAllowed;
    };
    static constexpr std::array transitions {
        Transition { Rung::Free, Rung::Throttled, LadderActionKind::Throttle,
                     &Ladder::mayThrottle },
        Transition { Rung::Throttled, Rung::Moving, LadderActionKind::CheckpointAndMove,
                     &Ladder::mayMove },
        Transition { Rung::Throttled, Rung::Evicted, LadderActionKind::Evict, &Ladder::mayEvict },
        Transition { Rung::Moving, Rung::Evicted, LadderActionKind::Evict, &Ladder::mayEvict },
    };
    const Rung current = this->rung(task.job);
    for (const Transition &transition : transitions) {
        if (transition.from == current && (this->*transition.isAllowed)(pressure, now)) {
            this->rungs[task.job] = transition.to;
            state.lastActionAt = now;
            state.hasActed = true;
            return { { transition.kind, task.job, pressure.worker } };
        }
    }
    return {};
}

std::vector<LadderAction> Ladder::stepDown(WorkerState &state, const WorkerPressure &pressure,
                                           std::span<const LadderTask> tasks, Instant now)
{
    for (const LadderTask &task : tasks) {
        if (this->rung(task.job) == Rung::Throttled) {
            this->rungs.erase(task.job);
            state.lastActionAt = now;
            state.hasActed = true;
            return { { LadderActionKind::Restore, task.job, pressure.worker } };
        }
    }
    return {};
}

bool Ladder::mayThrottle(const WorkerPressure &, Instant)
{
    return true;
}

bool Ladder::mayMove(const WorkerPressure &, Instant now)
{
    return this->moves.take(now);
}

bool Ladder::mayEvict(const WorkerPressure &pressure, Instant now)
{
    return pressure.slowdown > this->settings.severeSlowdown && this->evictions.take(now);
}

} // namespace bulrush::interference
