#pragma once

#include "bulrush_steps/policy/LoadTrend.h"
#include "bulrush_steps/workers/Worker.h"

#include <map>
#include <string>

namespace bulrush {

/**
    Learns how much each filling image slows each serving image.

    The tail latency of a serving task is modelled as that of a queue, idle / (1 - pressure). The
    pressure is the task's own load plus, for each filling image on the same worker, a coefficient
    times the share of the worker's processors that the image uses. The coefficients are learned
    from the workers' reports by a Kalman filter with a diagonal covariance. The tasks of a job
    serve the same users, so the load is tracked per job: a task with few filling tasks beside it
    shows the load of its siblings.
*/
class PressureModel
{
public:
    /** Updates the model with a worker's newest report. */
    void observe(const Worker &worker, Instant now);

    /** Returns the pressure on a serving image from a filling image that uses all processors of the
        worker. */
    double coefficient(const std::string &fillImage, const std::string &servingImage) const;

    /** Returns the pressure on a serving run according to its last report. */
    double pressure(const Run &serving) const;

    /** Returns the pressure at which the tail latency of a serving run equals its target. */
    double pressureAtTarget(const Run &serving) const;

    /** Returns the share of a worker's processors that a filling run used according to its last
        report. */
    static double usedShare(const Worker &worker, const Run &fill);

    /** Returns the share of a worker's processors that a filling run may use at its pace. */
    static double fullShare(const Worker &worker, const Run &fill);

    /** Returns the expected pressure on a serving run at a moment, assuming that the filling runs
        on the worker keep their pace. */
    double expectedPressure(const Worker &worker, const Run &serving, Instant moment) const;

    /** Returns the expected number of serving tasks on a worker that exceed their tail latency
        target at a moment, if one more filling task runs there. Counts only the serving tasks that
        the filling task would slow. Returns the total rather than the increase, so that nothing is
        placed beside tasks that already exceed their target. */
    double expectedOverTarget(const Worker &worker, const std::string &fillImage, double share,
                              Instant moment) const;

    /** Returns the sum of the pressure that one more filling task adds to the serving tasks of a
        worker. */
    double addedPressure(const Worker &worker, const std::string &fillImage, double share) const;

private:
    struct Coefficient
    {
        double value = 0.5;
        double variance = 0.64;
    };

    struct Serving
    {
        /** The lowest reported tail latency, in milliseconds; 0 before the first report. */
        double idleTail = 0.0;
        /** Variance of the reported pressure around the prediction. */
        double variance = 0.01;
        std::map<std::string, Coefficient> byFill;
    };

    double overTargetProbability(const Run &serving, double pressure, Instant moment) const;
    double expectedLoad(const Run &serving, Instant moment) const;
    void learn(const Worker &worker, const Run &serving, Instant now);
    void discardStaleLoads(Instant now);

    std::map<std::string, Serving> images;
    /** The load that users cause in the tasks of each serving job. */
    std::map<JobId, LoadTrend> loads;
};

} // namespace bulrush
