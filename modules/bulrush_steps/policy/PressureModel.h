#pragma once

#include "bulrush_steps/workers/Worker.h"

#include <map>
#include <string>

namespace bulrush {

/**
    Learns how much each image that fills slows each image that serves.

    A serving task's tail latency is taken as idle / (1 - pressure), as of a queue: pressure is what
    its own load makes plus, for each filling image beside it, a coefficient times the share of the
    worker's processors that the image uses. The coefficients are learned from workers' reports by a
    Kalman filter with a diagonal covariance.
*/
class PressureModel
{
public:
    /** Learns from a worker's newest report. */
    void observe(const Worker &worker);

    /** Returns how much pressure one full share of a filling image puts on a serving image. */
    double coefficient(const std::string &fillImage, const std::string &servingImage) const;

    /** Returns the pressure on a serving run by its last report; the usual one before the first. */
    double pressure(const Run &serving) const;

    /** Returns the pressure at which a serving run's tail is at its bound. */
    double bound(const Run &serving) const;

    /** Returns the share of a worker's processors that a filling run used by its last report. */
    static double usedShare(const Worker &worker, const Run &fill);

    /** Returns the share that a filling run may use at its present pace. */
    static double fullShare(const Worker &worker, const Run &fill);

    /** Returns the pressure on a serving run that no filling run beside it makes. */
    double ownPressure(const Worker &worker, const Run &serving) const;

    /** Returns what a serving run's own pressure usually is. */
    double usualPressure(const Run &serving) const;

    /** Returns the pressure on a serving run to expect while the filling runs keep their paces: its
        own load swings, so that its usual pressure counts as much as the present one. */
    double expectedPressure(const Worker &worker, const Run &serving) const;

    /** Returns by how much one more filling task raises the number of serving tasks on a worker
       that are expected over their bound. */
    double addedRisk(const Worker &worker, const std::string &fillImage, double share) const;

private:
    struct Coefficient
    {
        double value = 0.5;
        double variance = 0.64;
    };

    struct Serving
    {
        /** The least tail that was seen, in milliseconds; 0 before the first report. */
        double idleTail = 0.0;
        /** The usual pressure without filling tasks. */
        double usualPressure = 0.35;
        /** Variance of the reports around the model. */
        double variance = 0.0225;
        std::map<std::string, Coefficient> byFill;
    };

    double overRisk(const Run &serving, double pressure) const;

    void learn(const Worker &worker, const Run &serving);

    std::map<std::string, Serving> images;
};

} // namespace bulrush
