#pragma once

#include "bulrush_steps/policy/LoadTrend.h"
#include "bulrush_steps/workers/Worker.h"

#include <map>
#include <string>

namespace bulrush {

/**
    Learns how much each image that fills slows each image that serves.

    A serving task's tail latency is taken as idle / (1 - pressure), as of a queue: pressure is what
    its own load makes plus, for each filling image beside it, a coefficient times the share of the
    worker's processors that the image uses. The coefficients are learned from workers' reports by a
    Kalman filter with a diagonal covariance. The tasks of a job share their users, so their own
   load is followed a job: a task with little beside it tells how loaded the others are.
*/
class PressureModel
{
public:
    /** Learns from a worker's newest report. */
    void observe(const Worker &worker, Instant now);

    /** Returns how much pressure one full share of a filling image puts on a serving image. */
    double coefficient(const std::string &fillImage, const std::string &servingImage) const;

    /** Returns the pressure on a serving run by its last report. */
    double pressure(const Run &serving) const;

    /** Returns the pressure at which a serving run's tail is at its bound. */
    double bound(const Run &serving) const;

    /** Returns the share of a worker's processors that a filling run used by its last report. */
    static double usedShare(const Worker &worker, const Run &fill);

    /** Returns the share that a filling run may use at its present pace. */
    static double fullShare(const Worker &worker, const Run &fill);

    /** Returns the pressure on a serving run to expect at a moment, while the filling runs beside
       it keep their paces. */
    double expectedPressure(const Worker &worker, const Run &serving, Instant moment) const;

    /** Returns how many serving tasks on a worker, of those that one more filling task would press
        on, are expected over their bound at a moment when it is there. Not by how many it raises
        their number: beside tasks that are over their bound already, nothing more is to be placed.
    */
    double riskBeside(const Worker &worker, const std::string &fillImage, double share,
                      Instant moment) const;

    /** Returns the pressure that one more filling task puts on all serving tasks of a worker. */
    double addedPressure(const Worker &worker, const std::string &fillImage, double share) const;

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
        /** Variance of the reports around the model. */
        double variance = 0.01;
        std::map<std::string, Coefficient> byFill;
    };

    double overRisk(const Run &serving, double pressure, Instant moment) const;
    double ownLoad(const Run &serving, Instant moment) const;
    void learn(const Worker &worker, const Run &serving, Instant now);
    void forgetOldLoads(Instant now);

    std::map<std::string, Serving> images;
    /** The load that the users of a job's serving tasks make. */
    std::map<JobId, LoadTrend> loads;
};

} // namespace bulrush
