#include "bulrush_interference/ladder/Ladder.h"

#include "bulrush_core/errors/Error.h"

#include <algorithm>
#include <cmath>

namespace bulrush::interference {

namespace {

/** The weight of tail latency when all three measures have equal weights. */
constexpr double equalWeight = 1.0 / 3.0;

/** Lower bound of the weight of tail latency; limits the slowdown that is tolerated when operators
    give tail latency little weight. */
constexpr double minTailWeight = 0.1;

/** A task to mitigate, with the slowdown that it is expected to add. */
struct Candidate
{
    const LadderTask *task;
    double addedSlowdown;
};

bool isMitigatedBefore(const Candidate &left, const Candidate &right)
{
    if (left.task->isUrgent != right.task->isUrgent) {
        return right.task->isUrgent;
    }
    if (left.task->isWatcher != right.task->isWatcher) {
        return right.task->isWatcher;
    }
    if (left.addedSlowdown != right.addedSlowdown) {
        return left.addedSlowdown > right.addedSlowdown;
    }
    return left.task->job < right.task->job;
}

} // namespace

bool LadderSettings::isValid() const
{
    const bool areThresholdsOrdered = 1 <= this->stepDownSlowdown
            && this->stepDownSlowdown < this->stepUpSlowdown
            && this->stepUpSlowdown <= this->evictionSlowdown;
    const bool areBudgetsValid = this->moveBurst >= 0 && this->evictionBurst >= 0;
    return areThresholdsOrdered && areBudgetsValid && this->hysteresis > this->measurementLag;
}

LadderSettings LadderSettings::from(const PolicyWeights &weights)
{
    const PolicyWeights parts = weights.normalised();
    LadderSettings settings;
    const double tolerance = std::sqrt(equalWeight / std::max(parts.tailLatency, minTailWeight));
    settings.stepDownSlowdown = 1 + 0.3 * tolerance;
    settings.stepUpSlowdown = 1 + 0.6 * tolerance;
    settings.evictionSlowdown = 1 + 1.5 * tolerance * (1 + parts.evictions);
    return settings;
}

Ladder::Ladder(const LadderSettings &settings)
    : settings(settings)
    , moveBudget(settings.moveBurst, settings.moveInterval)
    , evictionBudget(settings.evictionBurst, settings.evictionInterval)
{
    if (!settings.isValid()) {
        throw Error("set up mitigation ladder", "",
                    "thresholds out of order, negative budget, or hysteresis not longer than the "
                    "measurement lag");
    }
}

std::vector<LadderAction> Ladder::decide(const WorkerPressure &pressure,
                                         std::span<const LadderTask> tasks,
                                         const PairEstimates &estimates, Instant now)
{
    WorkerState &state = this->workers[pressure.worker];
    const bool isBelowStepDown = pressure.slowdown < this->settings.stepDownSlowdown;
    if (isBelowStepDown && !state.isBelowStepDown) {
        state.belowStepDownSince = now;
    }
    state.isBelowStepDown = isBelowStepDown;
    if (!this->isSettled(state, pressure, now)) {
        return {};
    }
    if (pressure.slowdown > this->settings.stepUpSlowdown) {
        return this->stepUp(state, pressure, tasks, estimates, now);
    }
    if (isBelowStepDown && now - state.belowStepDownSince >= this->settings.hysteresis) {
        return this->stepDown(state, pressure, tasks, now);
    }
    return {};
}

MitigationLevel Ladder::level(const JobId &job) const
{
    const auto found = this->levels.find(job);
    return found == this->levels.end() ? MitigationLevel::Unrestricted : found->second;
}

void Ladder::removeTask(const JobId &job)
{
    this->levels.erase(job);
}

void Ladder::removeWorker(const VmId &worker)
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
    std::vector<Candidate> candidates;
    for (const LadderTask &task : tasks) {
        const double slowdownPerShare =
                estimates.expectedSlowdownPerShare(pressure.service, task.batchClass, now);
        if (slowdownPerShare * task.share >= this->settings.minContribution) {
            candidates.push_back({ &task, slowdownPerShare * task.share });
        }
    }
    std::sort(candidates.begin(), candidates.end(), isMitigatedBefore);
    for (const Candidate &candidate : candidates) {
        auto actions = this->stepUpTask(state, pressure, *candidate.task, now);
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
        MitigationLevel from;
        MitigationLevel to;
        LadderActionKind kind;
        StepCheck isAllowed;
    };
    static constexpr std::array transitions {
        Transition { MitigationLevel::Unrestricted, MitigationLevel::Throttled,
                     LadderActionKind::Throttle, &Ladder::mayThrottle },
        Transition { MitigationLevel::Throttled, MitigationLevel::Moving,
                     LadderActionKind::CheckpointAndMove, &Ladder::mayMove },
        Transition { MitigationLevel::Throttled, MitigationLevel::Evicted, LadderActionKind::Evict,
                     &Ladder::mayEvict },
        Transition { MitigationLevel::Moving, MitigationLevel::Evicted, LadderActionKind::Evict,
                     &Ladder::mayEvict },
    };
    const MitigationLevel current = this->level(task.job);
    for (const Transition &transition : transitions) {
        if (transition.from == current && (this->*transition.isAllowed)(pressure, now)) {
            this->levels[task.job] = transition.to;
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
        if (this->level(task.job) == MitigationLevel::Throttled) {
            this->levels.erase(task.job);
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
    return this->moveBudget.tryTake(now);
}

bool Ladder::mayEvict(const WorkerPressure &pressure, Instant now)
{
    return pressure.slowdown > this->settings.evictionSlowdown && this->evictionBudget.tryTake(now);
}

} // namespace bulrush::interference
