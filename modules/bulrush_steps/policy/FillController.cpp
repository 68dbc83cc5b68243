#include "bulrush_steps/policy/FillController.h"

#include <algorithm>

namespace bulrush {

namespace {

/** A filling run that adds less pressure than this is not moved. */
constexpr double minPressureToMove = 0.025;

/** The period that the figures in a report of a worker cover. */
constexpr milliseconds reportWindow { 500 };

/** The share of their reserved processors that serving and short tasks are assumed to use. */
constexpr double expectedUtilisation = 0.4;

/** Filling tasks that obtain less than this share of their demand are assumed to use all unused
    processors, so that their use measures how much is unused. */
constexpr double saturationThreshold = 0.6;

/** Factor by which the estimate of the unused processors may exceed the measured use while filling
    tasks obtain at least the share saturationThreshold of their demand. */
constexpr double growthFactor = 1.25;

} // namespace

double FillController::unusedProcessors(const Worker &worker, Instant now)
{
    double reserved = 0.0;
    double demanded = 0.0;
    double used = 0.0;
    for (const auto &[attempt, run] : worker.runs) {
        if (run.fillCpuMilli == 0) {
            reserved += static_cast<double>(run.size.cpuMilli);
        } else if (run.phase == RunPhase::Running && now - run.confirmedAt > reportWindow) {
            demanded += static_cast<double>(run.fillCpuMilli) * run.pacePercent / 100.0;
            used += run.load;
        }
    }
    const auto capacity = static_cast<double>(worker.entry.capacity.cpuMilli);
    const double assumed = std::max(0.0, capacity - expectedUtilisation * reserved);
    if (demanded <= 0.0) {
        return assumed;
    }
    if (used < saturationThreshold * demanded) {
        return std::min(assumed, used);
    }
    return std::min(std::max(assumed, used * growthFactor), capacity);
}

bool FillController::exceedsTailTarget(const Worker &worker)
{
    return std::any_of(worker.runs.begin(), worker.runs.end(), [](const auto &each) {
        const Run &run = each.second;
        return run.tailTarget.count() > 0 && run.load > static_cast<double>(run.tailTarget.count());
    });
}

void FillController::clearWorkers()
{
    this->overTargetSince.clear();
    this->lastMoveAt.clear();
}

void FillController::updateOverTarget(const Worker &worker, Instant now)
{
    for (const auto &[attempt, run] : worker.runs) {
        if (run.tailTarget.count() == 0) {
            continue;
        }
        if (run.load > static_cast<double>(run.tailTarget.count())) {
            this->overTargetSince.try_emplace(attempt, now);
        } else {
            this->overTargetSince.erase(attempt);
        }
    }
}

const Run *FillController::mostInterferingFill(const Worker &worker, const Run &serving) const
{
    const Run *runToMove = nullptr;
    double highestPressure = minPressureToMove;
    for (const auto &[attempt, run] : worker.runs) {
        if (run.fillCpuMilli == 0 || run.stopRequested || run.phase != RunPhase::Running) {
            continue;
        }
        const double pressure = this->model.coefficient(run.image, serving.image)
                * PressureModel::usedShare(worker, run);
        if (pressure > highestPressure) {
            highestPressure = pressure;
            runToMove = &run;
        }
    }
    return runToMove;
}

bool FillController::mustPause(const Worker &worker, Instant now,
                               const DispatchSettings &settings) const
{
    return std::any_of(worker.runs.begin(), worker.runs.end(), [&](const auto &each) {
        const auto since = this->overTargetSince.find(each.first);
        return since != this->overTargetSince.end()
                && now - since->second >= settings.maxTailViolation * 2 / 5;
    });
}

void FillController::liftPaceLimits(Worker &worker, Instant moment, double risk) const
{
    for (auto &[attempt, run] : worker.runs) {
        const bool limited = run.paceLimit < fullPace && run.pacePercent == run.paceLimit;
        if (!limited || run.phase != RunPhase::Running) {
            continue;
        }
        const double added = worker.shareOf(static_cast<double>(run.fillCpuMilli))
                * (fullPace - run.paceLimit) / fullPace;
        const FillImpact impact =
                PressureModel::impactOf(this->model.servingPressures(worker, moment),
                                        this->model.coefficientsOf(run.image), added);
        if (impact.overTarget <= risk) {
            worker.liftPaceLimit(run);
            return;
        }
    }
}

std::vector<FillChange> FillController::decide(const Worker &worker, Instant now,
                                               const DispatchSettings &settings)
{
    this->updateOverTarget(worker, now);
    const bool paused = this->mustPause(worker, now, settings);
    std::map<AttemptRef, FillChange> changes;
    for (const auto &[attempt, run] : worker.runs) {
        const std::uint32_t percent = paused ? 0 : run.paceLimit;
        const bool fills = run.fillCpuMilli > 0 && run.phase == RunPhase::Running;
        if (fills && run.pacePercent != percent) {
            changes[attempt] = { attempt, percent, false };
        }
    }
    const auto lastMove = this->lastMoveAt.find(worker.entry.worker);
    const bool settled = lastMove == this->lastMoveAt.end()
            || now - lastMove->second
                    > reportWindow + settings.maxStopDuration + settings.paceDelay;
    const Run *runToMove = nullptr;
    for (const auto &[attempt, run] : worker.runs) {
        if (settled && runToMove == nullptr && this->overTargetSince.contains(attempt)) {
            runToMove = this->mostInterferingFill(worker, run);
        }
    }
    if (runToMove != nullptr) {
        this->lastMoveAt[worker.entry.worker] = now;
        changes[runToMove->attempt] = { runToMove->attempt, 0, runToMove->resumable };
    }
    std::vector<FillChange> list;
    for (const auto &[attempt, change] : changes) {
        list.push_back(change);
    }
    return list;
}

} // namespace bulrush
