#include "bulrush_interference/estimates/PairEstimates.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace bulrush::interference {

namespace {

/** Added to the sum of squared shares; keeps the step finite when the shares are near zero. */
constexpr double minEnergy = 0.01;

double secondsOf(Duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

void PairEstimates::observe(const ServiceId &service, std::span<const ClassShare> neighbours,
                            double slowdown, Instant measuredAt)
{
    if (!std::isfinite(slowdown) || slowdown <= 0) {
        return;
    }
    PairsOfService &pairs = this->services[service];
    double predicted = 0;
    double energy = minEnergy;
    for (const ClassShare &neighbour : neighbours) {
        const auto [entry, isNew] = pairs.try_emplace(neighbour.batchClass);
        if (isNew) {
            entry->second.slowdownPerShare = this->settings.defaultSlowdownPerShare;
        }
        predicted += entry->second.slowdownPerShare * neighbour.share;
        energy += neighbour.share * neighbour.share;
    }
    const double error = slowdown - 1 - predicted;
    for (const ClassShare &neighbour : neighbours) {
        Pair &pair = pairs[neighbour.batchClass];
        const double step = this->settings.learningRate * error * neighbour.share / energy;
        pair.slowdownPerShare =
                std::clamp(pair.slowdownPerShare + step, 0.0, this->settings.maxSlowdownPerShare);
        pair.evidence += neighbour.share;
        pair.lastMeasuredAt = std::max(pair.lastMeasuredAt, measuredAt);
    }
}

PairEstimate PairEstimates::estimate(const ServiceId &service, const BatchClassId &batchClass,
                                     Instant now) const
{
    const Pair *pair = this->find(service, batchClass);
    if (pair == nullptr) {
        return {};
    }
    const Duration age = std::max(Duration::zero(), now - pair->lastMeasuredAt);
    return { pair->slowdownPerShare, this->confidence(*pair, now), age, true };
}

double PairEstimates::expectedSlowdownPerShare(const ServiceId &service,
                                               const BatchClassId &batchClass, Instant now) const
{
    const Pair *pair = this->find(service, batchClass);
    if (pair == nullptr) {
        return this->settings.defaultSlowdownPerShare;
    }
    const double known = this->confidence(*pair, now);
    return known * pair->slowdownPerShare + (1 - known) * this->settings.defaultSlowdownPerShare;
}

std::size_t PairEstimates::pairCount() const
{
    std::size_t count = 0;
    for (const auto &[service, pairs] : this->services) {
        count += pairs.size();
    }
    return count;
}

const PairEstimates::Pair *PairEstimates::find(const ServiceId &service,
                                               const BatchClassId &batchClass) const
{
    const auto pairs = this->services.find(service);
    if (pairs == this->services.end()) {
        return nullptr;
    }
    const auto pair = pairs->second.find(batchClass);
    return pair == pairs->second.end() ? nullptr : &pair->second;
}

double PairEstimates::confidence(const Pair &pair, Instant now) const
{
    const Duration age = std::max(Duration::zero(), now - pair.lastMeasuredAt);
    const double halvings = secondsOf(age) / secondsOf(this->settings.confidenceHalfLife);
    const double measured =
            pair.evidence / (pair.evidence + this->settings.evidenceForHalfConfidence);
    return measured * std::exp2(-halvings);
}

} // namespace bulrush::interference
