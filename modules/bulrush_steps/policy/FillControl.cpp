#include "bulrush_steps/policy/FillControl.h"

#include <algorithm>
#include <cmath>

namespace bulrush {

namespace {

/** Pressure that is kept free below a serving task's bound. */
constexpr double pressureMargin = 0.05;

/** Paces are set in steps, so that small changes of the figures cause no orders. */
constexpr std::uint32_t paceStep = 20;

/** A coefficient below this is no cause of harm. */
constexpr double harmlessCoefficient = 0.1;

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

std::map<AttemptRef, double> FillControl::wantedShares(const Worker &worker) const
{
    std::map<AttemptRef, double> shares;
    for (const auto &[attempt, run] : worker.runs) {
        if (run.fillCpuMilli > 0) {
            shares[attempt] = 1.0;
        }
    }
    return shares;
}

void FillControl::limitShares(const Worker &worker, const Run &serving,
                              std::map<AttemptRef, double> &shares) const
{
    struct Pressing
    {
        AttemptRef attempt;
        double coefficient = 0.0;
        /** The share of the worker's processors at full pace. */
        double atFullPace = 0.0;
    };
    const double own = this->model.ownPressure(worker, serving);
    double expected = own;
    bool paced = false;
    std::vector<Pressing> pressing;
    for (const auto &[attempt, run] : worker.runs) {
        if (run.fillCpuMilli == 0) {
            continue;
        }
        Run fullPace = run;
        fullPace.pacePercent = 100;
        const double coefficient = this->model.coefficient(run.image, serving.image);
        const double atFullPace = PressureModel::fullShare(worker, fullPace);
        expected += coefficient * atFullPace * shares[attempt];
        paced = paced || run.pacePercent < 100;
        pressing.push_back({ attempt, coefficient, atFullPace });
    }
    const bool over = serving.load > static_cast<double>(serving.tailTarget.count());
    if (!over && !paced) {
        return;
    }
    const auto more = [](const Pressing &a, const Pressing &b) {
        return a.coefficient > b.coefficient;
    };
    std::sort(pressing.begin(), pressing.end(), more);
    double excess = expected - (this->model.bound(serving) - pressureMargin);
    for (const Pressing &each : pressing) {
        if (excess <= 0.0 || each.coefficient < harmlessCoefficient) {
            break;
        }
        double &share = shares[each.attempt];
        const double perShare = each.coefficient * each.atFullPace;
        const double cut = std::min(share, excess / std::max(perShare, 1e-6));
        share -= cut;
        excess -= cut * perShare;
    }
}

void FillControl::stopHarm(const Worker &worker, Instant now, const DispatchSettings &settings,
                           std::map<AttemptRef, double> &shares)
{
    for (const auto &[attempt, run] : worker.runs) {
        if (run.tailTarget.count() == 0) {
            continue;
        }
        if (run.load <= static_cast<double>(run.tailTarget.count())) {
            this->overSince.erase(attempt);
            continue;
        }
        const Instant since = this->overSince.try_emplace(attempt, now).first->second;
        for (auto &[fill, share] : shares) {
            const Run &filling = worker.runs.at(fill);
            const double coefficient = this->model.coefficient(filling.image, run.image);
            const bool suspect =
                    now - since >= settings.harmLimit / 8 && coefficient >= harmlessCoefficient;
            if (suspect || now - since >= settings.harmLimit / 4) {
                share = 0.0;
            }
        }
    }
}

std::vector<PaceChange> FillControl::decide(const Worker &worker, Instant now,
                                            const DispatchSettings &settings)
{
    std::map<AttemptRef, double> shares = this->wantedShares(worker);
    this->stopHarm(worker, now, settings, shares);
    std::vector<PaceChange> changes;
    for (const auto &[attempt, share] : shares) {
        const Run &run = worker.runs.at(attempt);
        const auto steps = static_cast<std::uint32_t>(std::floor(share * 100.0 / paceStep + 0.01));
        const std::uint32_t percent = std::min<std::uint32_t>(100, steps * paceStep);
        if (run.phase == RunPhase::Running && run.pacePercent != percent) {
            changes.push_back({ attempt, percent });
        }
    }
    return changes;
}

} // namespace bulrush
