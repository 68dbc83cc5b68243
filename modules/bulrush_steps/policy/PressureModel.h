#pragma once

#include "bulrush_steps/policy/LoadTrend.h"
#include "bulrush_steps/workers/Worker.h"

#include <map>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace bulrush {

/** The expected impact of one more filling task on the serving tasks of its worker. */
struct FillImpact
{
    /** The number of serving tasks that exceed their tail latency target. Counts only those that
       the filling task would slow. It is the total rather than the increase, so that nothing is
       placed beside tasks that already exceed their target. */
    double overTarget = 0.0;
    /** The sum of the pressure that the filling task adds. */
    double addedPressure = 0.0;
};

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

    /** Returns the expected pressure on each serving run of a worker at a moment. */
    std::vector<ServingPressure> servingPressures(const Worker &worker, Instant moment) const;

    /** Returns the impact of one more filling task on the serving runs of a worker.
        @param coefficients those of the filling task's image, see coefficientsOf()
        @param share the share of the worker's processors that the filling task requests */
    static FillImpact impactOf(std::span<const ServingPressure> serving,
                               std::span<const double> coefficients, double share);

    /** Returns the coefficients of a filling image, by the number of the serving image. */
    std::vector<double> coefficientsOf(const std::string &fillImage) const;

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

    /** The share of a worker's processors that a filling image uses there. */
    struct FillShare
    {
        const std::string *image = nullptr;
        double share = 0.0;
    };

    using ShareOfRun = double (*)(const Worker &, const Run &);

    /** Returns the shares of the filling images on a worker, each image once. */
    static std::vector<FillShare> fillShares(const Worker &worker, ShareOfRun shareOf);

    /** Returns the pressure on a serving image from filling images. */
    static double pressureOf(const Serving *serving, std::span<const FillShare> fills);

    /** Returns the state of a serving image; null when it is unknown. */
    const Serving *findImage(const std::string &image) const;
    static double coefficientOf(const Serving *serving, const std::string &fillImage);
    static double pressureAtTarget(const Serving *image, milliseconds tailTarget);

    /** Returns the load of the job of a serving run; null when no task of it has reported. */
    const LoadTrend *loadOf(const Run &serving) const;
    static double expectedLoad(const LoadTrend *load, Instant moment);
    void learn(const Run &serving, std::span<const FillShare> fills, Instant now);
    void discardStaleLoads(Instant now);

    /** The position of each serving image in images. */
    std::map<std::string, std::size_t> imageNumbers;
    std::vector<Serving> images;
    /** The load that users cause in the tasks of each serving job. */
    std::unordered_map<JobId, LoadTrend> loads;
    Instant nextDiscard {};
};

} // namespace bulrush
