#include "bulrush_steps/policy/LoadTrend.h"

#include <algorithm>

namespace bulrush {

namespace {

/** How fast the slope wanders: variance a second, in squared load a squared second. */
constexpr double slopeDrift = 0.004;

/** Beyond this a slope says nothing any more. */
constexpr double longestOutlook = 2.0;

} // namespace

LoadTrend::Estimate LoadTrend::estimateAt(Instant moment) const
{
    if (this->updatedAt == Instant()) {
        return this->newestEstimate;
    }
    const double all = std::chrono::duration<double>(moment - this->updatedAt).count();
    const double span = std::clamp(all, 0.0, longestOutlook);
    Estimate estimate = this->newestEstimate;
    estimate.level += estimate.slope * span;
    estimate.levelVariance += 2.0 * span * estimate.covariance
            + span * span * estimate.slopeVariance + slopeDrift * span * span * span / 3.0;
    estimate.covariance += span * estimate.slopeVariance + slopeDrift * span * span / 2.0;
    estimate.slopeVariance += slopeDrift * span;
    return estimate;
}

double LoadTrend::at(Instant moment) const
{
    return std::clamp(this->estimateAt(moment).level, 0.0, 1.0);
}

double LoadTrend::varianceAt(Instant moment) const
{
    return this->estimateAt(moment).levelVariance;
}

void LoadTrend::observe(double reading, double variance, Instant at)
{
    Estimate estimate = this->estimateAt(at);
    const double error = reading - estimate.level;
    const double whole = estimate.levelVariance + variance;
    const double levelGain = estimate.levelVariance / whole;
    const double slopeGain = estimate.covariance / whole;
    estimate.level += levelGain * error;
    estimate.slope += slopeGain * error;
    estimate.slopeVariance -= slopeGain * estimate.covariance;
    estimate.covariance *= 1.0 - levelGain;
    estimate.levelVariance *= 1.0 - levelGain;
    this->newestEstimate = estimate;
    this->updatedAt = std::max(this->updatedAt, at);
}

} // namespace bulrush
