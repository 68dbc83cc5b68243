#include "bulrush_steps/policy/LoadTrend.h"

#include <algorithm>

namespace bulrush {

namespace {

/** Process noise of the slope: variance added per second, in squared load per squared second. */
constexpr double slopeProcessNoise = 0.004;

/** The furthest extrapolation, in seconds: over longer spans the slope has no predictive value. */
constexpr double maxExtrapolation = 2.0;

} // namespace

LoadTrend::Estimate LoadTrend::predict(Instant moment) const
{
    if (this->updatedAt == Instant()) {
        return this->latest;
    }
    const double elapsed = std::chrono::duration<double>(moment - this->updatedAt).count();
    const double span = std::clamp(elapsed, 0.0, maxExtrapolation);
    Estimate estimate = this->latest;
    estimate.level += estimate.slope * span;
    estimate.levelVariance += 2.0 * span * estimate.covariance
            + span * span * estimate.slopeVariance + slopeProcessNoise * span * span * span / 3.0;
    estimate.covariance += span * estimate.slopeVariance + slopeProcessNoise * span * span / 2.0;
    estimate.slopeVariance += slopeProcessNoise * span;
    return estimate;
}

double LoadTrend::loadAt(Instant moment) const
{
    return std::clamp(this->predict(moment).level, 0.0, 1.0);
}

double LoadTrend::varianceAt(Instant moment) const
{
    return this->predict(moment).levelVariance;
}

void LoadTrend::observe(double reading, double variance, Instant at)
{
    Estimate estimate = this->predict(at);
    const double error = reading - estimate.level;
    const double innovationVariance = estimate.levelVariance + variance;
    const double levelGain = estimate.levelVariance / innovationVariance;
    const double slopeGain = estimate.covariance / innovationVariance;
    estimate.level += levelGain * error;
    estimate.slope += slopeGain * error;
    estimate.slopeVariance -= slopeGain * estimate.covariance;
    estimate.covariance *= 1.0 - levelGain;
    estimate.levelVariance *= 1.0 - levelGain;
    this->latest = estimate;
    this->updatedAt = std::max(this->updatedAt, at);
}

} // namespace bulrush
