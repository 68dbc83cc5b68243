#include "LatencyMixture.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace bulrush::bench {

namespace {

constexpr double medianMs = 20;
constexpr double sigma = 0.45;
constexpr double deadlineMs = 100;
constexpr double highestSlowdown = 50;
constexpr double longestMs = 100'000;

double binWidth(std::size_t binCount)
{
    return std::log(highestSlowdown) / static_cast<double>(binCount);
}

} // namespace

void LatencyMixture::add(double slowdown, double requests)
{
    const double position = std::log(std::max(1.0, slowdown)) / binWidth(binCount);
    const auto bin = std::min(binCount - 1, static_cast<std::size_t>(position));
    this->bins[bin] += requests;
    this->total += requests;
}

double LatencyMixture::lateShare() const
{
    return this->shareAbove(deadlineMs);
}

double LatencyMixture::quantileMs(double fraction) const
{
    double low = 0;
    double high = longestMs;
    for (int step = 0; step < 50; ++step) {
        const double middle = (low + high) / 2;
        const bool isBelow = this->shareAbove(middle) > 1 - fraction;
        (isBelow ? low : high) = middle;
    }
    return high;
}

double LatencyMixture::shareAbove(double latencyMs) const
{
    double above = 0;
    for (std::size_t bin = 0; bin < binCount; ++bin) {
        if (this->bins[bin] > 0) {
            const double logSlowdown = (static_cast<double>(bin) + 0.5) * binWidth(binCount);
            const double distance = (std::log(latencyMs / medianMs) - logSlowdown) / sigma;
            above += this->bins[bin] * 0.5 * std::erfc(distance / std::numbers::sqrt2);
        }
    }
    return this->total > 0 ? above / this->total : 0;
}

} // namespace bulrush::bench
