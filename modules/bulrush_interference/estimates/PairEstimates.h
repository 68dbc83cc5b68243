#pragma once

#include "bulrush_core/ids/Id.h"
#include "bulrush_core/time/Clock.h"
#include "bulrush_interference/estimates/BatchClassId.h"

#include <cstddef>
#include <span>
#include <unordered_map>

namespace bulrush::interference {

/** How much of a worker one batch class used while a measurement was taken. */
struct ClassShare
{
    BatchClassId batchClass;
    double share = 0; ///< fraction of the worker's processors, 0 to 1
};

/** What is known about one pair of service and batch class. */
struct PairEstimate
{
    double slowdownPerShare =
            0; ///< added slowdown when the class uses the whole worker; 1 doubles latency
    double confidence = 0; ///< 0 untried to 1 well known; fades with age
    Duration age {}; ///< since the newest measurement; zero when there is none
    bool isMeasured = false;
};

/** Constants of the estimator. */
struct EstimateSettings
{
    double defaultSlowdownPerShare = 0.6; ///< assumed for a pair without measurements
    double learningRate = 0.15; ///< step of the normalised least mean squares
    double evidenceForHalfConfidence = 1.5; ///< summed shares at which confidence reaches one half
    double maxSlowdownPerShare = 20.0; ///< bound on one estimate
    Duration confidenceHalfLife = hours(6); ///< age at which confidence has halved
};

/**
    Estimates of interference for each pair of service and batch class.

    A worker's measurement is the slowdown of one service there together with the classes that ran
    beside it. The slowdown is divided among them by normalised least mean squares, so that classes
    that are only present are told from those that do harm. Measurements may be late, doubled or
    out of order; each only moves the estimate a little.
*/
class PairEstimates
{
public:
    explicit PairEstimates(const EstimateSettings &settings = {})
        : settings(settings)
    {
    }

    /** Takes in one measurement; one that is not a finite positive number is ignored.

        @param service    the service that was measured
        @param neighbours the batch classes on the same worker at that time
        @param slowdown   its latency over that of an undisturbed worker; 1 is undisturbed
        @param measuredAt when it was measured, not when it arrived
    */
    void observe(const ServiceId &service, std::span<const ClassShare> neighbours, double slowdown,
                 Instant measuredAt);

    /** Returns what is known about a pair. */
    PairEstimate estimate(const ServiceId &service, const BatchClassId &batchClass,
                          Instant now) const;

    /** Returns the harm to reckon with: the estimate where it is known, else the assumed one. */
    double expectedSlowdownPerShare(const ServiceId &service, const BatchClassId &batchClass,
                                    Instant now) const;

    /** Returns how many pairs have been measured. */
    std::size_t pairCount() const;

private:
    struct Pair
    {
        double slowdownPerShare = 0;
        double evidence = 0;
        Instant lastMeasuredAt {};
    };

    using PairsOfService = std::unordered_map<BatchClassId, Pair>;

    const Pair *find(const ServiceId &service, const BatchClassId &batchClass) const;
    double confidence(const Pair &pair, Instant now) const;

    EstimateSettings settings;
    std::unordered_map<ServiceId, PairsOfService> services;
};

} // namespace bulrush::interference
