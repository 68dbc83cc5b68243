#include "bulrush_steps/policy/FillControl.h"

#include "bulrush_steps/policy/Placement.h"

#include <algorithm>

namespace bulrush {

namespace {

/** Above this share of a serving task's bound, filling tasks slow down. */
constexpr double slowDownShare = 0.85;

/** Below this share they speed up again. */
constexpr double speedUpShare = 0.6;

/** How much of a processor's share filling tasks get back at a time, in percent. */
constexpr std::uint32_t speedUpStep = 20;

/** The figures that workers report are of the last half second. */
constexpr milliseconds reportWindow { 500 };

/** Between two changes upwards. */
constexpr milliseconds speedUpInterval { 1500 };

/** Of the processors that serving and short tasks reserve, the share that they are taken to use. */
constexpr double expectedUse = 0.6;

/** Filling tasks that get less than this share of what they ask for show how much is unused. */
constexpr double saturatedShare = 0.85;

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

std::vector<PaceChange> FillControl::decide(const Worker &worker, Instant now,
                                            const DispatchSettings &settings)
{
    State &state = this->states[worker.entry.worker];
    const double share = Placement::worstTailShare(worker);
    if (share <= 1.0) {
        state.overSince = Instant::max();
    } else if (state.overSince == Instant::max()) {
        state.overSince = now;
    }
    const bool overLong = state.overSince != Instant::max()
            && now - state.overSince > settings.harmLimit / 4;
    const bool settled = now - state.changedAt > reportWindow + settings.paceDelay;
    if (overLong) {
        state.percent = 0;
        state.changedAt = now;
    } else if (share > slowDownShare && settled && state.percent > 0) {
        state.percent /= share > 1.0 ? 4 : 2;
        state.changedAt = now;
    } else if (share < speedUpShare && state.percent < 100
               && now - state.changedAt > speedUpInterval) {
        state.percent = std::min<std::uint32_t>(100, state.percent + speedUpStep);
        state.changedAt = now;
    }
    std::vector<PaceChange> changes;
    for (const auto &[attempt, run] : worker.runs) {
        const bool paced = run.fillCpuMilli > 0 && run.phase == RunPhase::Running;
        if (paced && run.pacePercent != state.percent) {
            changes.push_back({ attempt, state.percent });
        }
    }
    return changes;
}

} // namespace bulrush
