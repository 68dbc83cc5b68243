#include "bulrush_interference/estimates/PairEstimates.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace bulrush::interference {

namespace {

/** Keeps the step finite when the neighbours hardly run. */
constexpr double smallestEnergy = 0.01;

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
    double energy = smallestEnergy;
    for (const ClassShare &neighbour : neighbours) {
        const auto [entry, isNew] = pairs.try_emplace(neighbour.batchClass);
        if (isNew) {
            entry->second.harm = this->settings.untriedHarm;
        }
        predicted += entry->second.harm * neighbour.share;
        energy += neighbour.share * neighbour.share;
    }
    const double error = slowdown - 1 - predicted;
    for (const ClassShare &neighbour : neighbours) {
        Pair &pair = pairs[neighbour.batchClass];
        const double step = this->settings.learningRate * error * neighbour.share / energy;
        pair.harm = std::clamp(pair.harm + step, 0.0, this->settings.highestHarm);
        pair.evidence += neighbour.share;
        pair.newest = std::max(pair.newest, measuredAt);
    }
}

PairEstimate PairEstimates::estimate(const ServiceId &service, const BatchClassId &batchClass,
                                     Instant now) const
{
    const Pair *pair = this->find(service, batchClass);
    if (pair == nullptr) {
        return {};
    }
    const Duration age = std::max(Duration::zero(), now - pair->newest);
    return { pair->harm, this->confidence(*pair, now), age, true };
}

double PairEstimates::expectedHarm(const ServiceId &service, const BatchClassId &batchClass,
                                   Instant now) const
{
    const Pair *pair = this->find(service, batchClass);
    if (pair == nullptr) {
        return this->settings.untriedHarm;
    }
    const double known = this->confidence(*pair, now);
    return known * pair->harm + (1 - known) * this->settings.untriedHarm;
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
    const Duration age = std::max(Duration::zero(), now - pair.newest);
    const double halvings = secondsOf(age) / secondsOf(this->settings.fadingTime);
    const double measured = pair.evidence / (pair.evidence + this->settings.evidenceForHalf);
    return measured * std::exp2(-halvings);
}

} // namespace bulrush::interference
