#pragma once

#include "bulrush_core/ids/Id.h"
#include "bulrush_core/time/Clock.h"
#include "bulrush_interference/estimates/BatchClassId.h"

#include <cstddef>
#include <span>
#include <unordered_map>

namespace bulrush::interference {

/** The share of a worker that one batch class used during a measurement. */
struct ClassShare
{
    BatchClassId batchClass;
    double share = 0; ///< fraction of the worker's processors, 0 to 1
};

/** The estimate for one pair of service and batch class. */
struct PairEstimate
{
    /** Added slowdown if the class uses the whole worker; 1 doubles the latency. */
    double slowdownPerShare = 0;
    double confidence = 0; ///< from 0 (not measured) to 1 (well known); decays with age
    Duration age {}; ///< of the newest measurement; zero if there is none
    bool isMeasured = false;
};

/** Constants of the estimator. */
struct EstimateSettings
{
    double defaultSlowdownPerShare = 0.6; ///< assumed for a pair without measurements
    double learningRate = 0.15; ///< step size of the normalised least mean squares filter
    double evidenceForHalfConfidence = 1.5; ///< sum of shares that gives a confidence of 0.5
    double maxSlowdownPerShare = 20.0; ///< upper bound of an estimate
    Duration confidenceHalfLife = hours(6); ///< age at which the confidence has halved
};

/**
    Estimates the interference for each pair of service and batch class.

    A measurement consists of the slowdown of one service on a worker and the batch classes that
    ran on the same worker. A normalised least mean squares (NLMS) filter attributes the slowdown to
    the classes, which separates classes that cause it from those that are merely present.
    Measurements may be late, duplicated or out of order; each changes the estimate only slightly.
*/
class PairEstimates
{
public:
    explicit PairEstimates(const EstimateSettings &settings = {})
        : settings(settings)
    {
    }

    /** Records a measurement; ignores a slowdown that is not finite and positive.

        @param service    the service that was measured
        @param neighbours the batch classes on the same worker at that time
        @param slowdown   ratio of its latency to that without interference; 1 is undisturbed
        @param measuredAt the time of the measurement, not of its arrival
    */
    void observe(const ServiceId &service, std::span<const ClassShare> neighbours, double slowdown,
                 Instant measuredAt);

    /** Returns the estimate for a pair. */
    PairEstimate estimate(const ServiceId &service, const BatchClassId &batchClass,
                          Instant now) const;

    /** Returns the slowdown per share to expect: the estimate weighted by its confidence, and the
        default for the rest. */
    double expectedSlowdownPerShare(const ServiceId &service, const BatchClassId &batchClass,
                                    Instant now) const;

    /** Returns the number of measured pairs. */
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
