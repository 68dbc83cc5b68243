#include "bulrush_interference/ladder/PressureFilter.h"

#include <cmath>

namespace bulrush::interference {

namespace {

/** Weight of the newest measurement in the exponential moving average. */
constexpr double smoothingFactor = 0.4;

} // namespace

void PressureFilter::observe(const VmId &worker, const ServiceId &service, double slowdown,
                             Instant measuredAt)
{
    WorkerState &state = this->workers[worker];
    if (!std::isfinite(slowdown) || measuredAt < state.startedAt) {
        return;
    }
    const auto [entry, isNew] = state.services.try_emplace(service, Mean { slowdown, measuredAt });
    Mean &mean = entry->second;
    if (!isNew && measuredAt > mean.lastMeasuredAt) {
        mean.slowdown += smoothingFactor * (slowdown - mean.slowdown);
        mean.lastMeasuredAt = measuredAt;
    }
}

std::optional<WorkerPressure> PressureFilter::largestPressure(const VmId &worker) const
{
    const auto state = this->workers.find(worker);
    if (state == this->workers.end()) {
        return std::nullopt;
    }
    std::optional<WorkerPressure> worst;
    for (const auto &[service, mean] : state->second.services) {
        if (!worst || mean.slowdown > worst->slowdown) {
            worst = WorkerPressure { worker, service, mean.slowdown, mean.lastMeasuredAt };
        }
    }
    return worst;
}

void PressureFilter::reset(const VmId &worker, Instant actionAt)
{
    this->workers[worker] = { actionAt, {} };
}

} // namespace bulrush::interference
