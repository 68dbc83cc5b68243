#pragma once

#include "bulrush_core/time/Clock.h"

namespace bulrush {

/**
    Follows a load that rises and falls, and says what it will be a moment from now.

    A Kalman filter of the load and its slope, fed with readings of different quality. It answers
    the load of a serving job whose users come and go in waves: all its tasks feel the same wave.
*/
class LoadTrend
{
public:
    /** Takes a reading. @param variance how far it may be off, squared */
    void observe(double reading, double variance, Instant at);

    /** Returns the load expected at a moment. */
    double at(Instant moment) const;

    /** Returns the variance of the load expected at a moment. */
    double varianceAt(Instant moment) const;

    /** Returns when the newest reading was taken. */
    Instant newest() const { return this->updatedAt; }

private:
    /** What is expected of the load at one moment. */
    struct Estimate
    {
        double level = 0.45;
        double slope = 0.0;
        double levelVariance = 0.04;
        double slopeVariance = 0.01;
        double covariance = 0.0;
    };

    Estimate estimateAt(Instant moment) const;

    Estimate newestEstimate;
    Instant updatedAt {};
};

} // namespace bulrush
