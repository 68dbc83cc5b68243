#pragma once

#include <array>
#include <cstddef>

namespace bulrush::bench {

/**
    The distribution of request latency over a run.

    The latency of a request is lognormal, scaled by the slowdown of its replica at that moment, so
    the distribution over a run is a mixture over slowdowns. Slowdowns are kept in bins, whose
    width is the only approximation.
*/
class LatencyMixture
{
public:
    /** Adds requests served at one slowdown. @param requests their number; may be fractional */
    void add(double slowdown, double requests);

    /** Returns the fraction of all requests that took longer than the deadline. */
    double lateShare() const;

    /** Returns the latency in milliseconds below which a fraction of all requests stayed. */
    double quantileMs(double fraction) const;

private:
    static constexpr std::size_t binCount = 2'000;

    double shareAbove(double latencyMs) const;

    std::array<double, binCount> bins {};
    double total = 0;
};

} // namespace bulrush::bench
