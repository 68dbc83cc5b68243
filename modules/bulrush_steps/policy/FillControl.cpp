#include "bulrush_steps/policy/FillControl.h"

#include <algorithm>

namespace bulrush {

namespace {

/** A filling run that presses less than this is not moved. */
constexpr double leastPressureToMove = 0.025;

/** The figures that workers report are of the last half second. */
constexpr milliseconds reportWindow { 500 };

/** Of the processors that serving and short tasks reserve, the share that they are taken to use. */
constexpr double expectedUse = 0.4;

/** Filling tasks that get less than this share of what they ask for show how much is unused. */
constexpr double saturatedShare = 0.6;

/** How much more is tried where filling tasks get all they ask for. */
constexpr double growthFactor = 1.25;

} // namespace

double FillControl::unusedProcessors(const Worker &worker, Instant now)
{
    double reserved = 0.0;
    double asked = 0.0;
    double used = 0.0;
    for (const auto &[attempt, run] : worker.runs) {
        if (run.fillCpuMilli == 0) {
            reserved += static_cast<double>(run.size.cpuMilli);
        } else if (run.phase == RunPhase::Running && now - run.confirmedAt > reportWindow) {
            asked += static_cast<double>(run.fillCpuMilli) * run.pacePercent / 100.0;
            used += run.load;
        }
    }
    const auto capacity = static_cast<double>(worker.entry.capacity.cpuMilli);
    const double assumed = std::max(0.0, capacity - expectedUse * reserved);
    if (asked <= 0.0) {
        return assumed;
    }
    if (used < saturatedShare * asked) {
        return std::min(assumed, used);
    }
    return std::min(std::max(assumed, used * growthFactor), capacity);
}

bool FillControl::harms(const Worker &worker)
{
    return std::any_of(worker.runs.begin(), worker.runs.end(), [](const auto &each) {
        const Run &run = each.second;
        return run.tailTarget.count() > 0 && run.load > static_cast<double>(run.tailTarget.count());
    });
}

void FillControl::forgetWorkers()
{
    this->overSince.clear();
    this->movedAt.clear();
}

void FillControl::noteOver(const Worker &worker, Instant now)
{
    for (const auto &[attempt, run] : worker.runs) {
        if (run.tailTarget.count() == 0) {
            continue;
        }
        if (run.load > static_cast<double>(run.tailTarget.count())) {
            this->overSince.try_emplace(attempt, now);
        } else {
            this->overSince.erase(attempt);
        }
    }
}

const Run *FillControl::worstFill(const Worker &worker, const Run &serving) const
{
    const Run *worst = nullptr;
    double most = leastPressureToMove;
    for (const auto &[attempt, run] : worker.runs) {
        if (run.fillCpuMilli == 0 || run.stopWanted || run.phase != RunPhase::Running) {
            continue;
        }
        const double pressure = this->model.coefficient(run.image, serving.image)
                * PressureModel::usedShare(worker, run);
        if (pressure > most) {
            most = pressure;
            worst = &run;
        }
    }
    return worst;
}

bool FillControl::standStill(const Worker &worker, Instant now,
                             const DispatchSettings &settings) const
{
    return std::any_of(worker.runs.begin(), worker.runs.end(), [&](const auto &each) {
        const auto since = this->overSince.find(each.first);
        return since != this->overSince.end() && now - since->second >= settings.harmLimit * 2 / 5;
    });
}

std::vector<FillChange> FillControl::decide(const Worker &worker, Instant now,
                                            const DispatchSettings &settings)
{
    this->noteOver(worker, now);
    const std::uint32_t percent = this->standStill(worker, now, settings) ? 0 : 100;
    std::map<AttemptRef, FillChange> changes;
    for (const auto &[attempt, run] : worker.runs) {
        const bool fills = run.fillCpuMilli > 0 && run.phase == RunPhase::Running;
        if (fills && run.pacePercent != percent) {
            changes[attempt] = { attempt, percent, false };
        }
    }
    const auto moved = this->movedAt.find(worker.entry.worker);
    const bool settled = moved == this->movedAt.end()
            || now - moved->second > reportWindow + settings.stopTime + settings.paceDelay;
    const Run *worst = nullptr;
    for (const auto &[attempt, run] : worker.runs) {
        if (settled && worst == nullptr && this->overSince.contains(attempt)) {
            worst = this->worstFill(worker, run);
        }
    }
    if (worst != nullptr) {
        this->movedAt[worker.entry.worker] = now;
        changes[worst->attempt] = { worst->attempt, 0, worst->resumes };
    }
    std::vector<FillChange> list;
    for (const auto &[attempt, change] : changes) {
        list.push_back(change);
    }
    return list;
}

} // namespace bulrush
