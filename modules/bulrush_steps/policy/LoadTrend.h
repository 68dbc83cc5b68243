#pragma once

#include "bulrush_core/time/Clock.h"

namespace bulrush {

/**
    Tracks a varying load and extrapolates it over a short time.

    A Kalman filter of the load and its slope; each reading has its own variance. It is used for the
    load of a serving job, whose user traffic rises and falls in waves that reach all of the job's
    tasks alike.
*/
class LoadTrend
{
public:
    /** Updates the estimate with a reading.
        @param variance the measurement variance of the reading */
    void observe(double reading, double variance, Instant at);

    /** Returns the expected load at a moment, from 0 to 1. */
    double loadAt(Instant moment) const;

    /** Returns the variance of the expected load at a moment. */
    double varianceAt(Instant moment) const;

    /** Returns the time of the newest reading. */
    Instant lastReadingAt() const { return this->updatedAt; }

private:
    /** The state of the filter at one moment: level, slope (per second) and their covariance. */
    struct Estimate
    {
        double level = 0.45;
        double slope = 0.0;
        double levelVariance = 0.04;
        double slopeVariance = 0.01;
        double covariance = 0.0;
    };

    Estimate predict(Instant moment) const;

    Estimate latest;
    Instant updatedAt {};
};

} // namespace bulrush
