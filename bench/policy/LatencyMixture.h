#pragma once

#include <array>
#include <cstddef>

namespace bulrush::bench {

/**
    The distribution of request latency over a run.

    Each request's latency is lognormal and scaled by the slowdown of its replica at that moment,
    so that the whole is a mixture over slowdowns. It is kept exactly but for the width of a bin.
*/
class LatencyMixture
{
public:
    /** Adds requests that met one slowdown. @param requests how many; may be a fraction */
    void add(double slowdown, double requests);

    /** Returns the part of all requests that took longer than the deadline. */
    double lateShare() const;

    /** Returns the latency in milliseconds below which a part of all requests stayed. */
    double quantileMs(double part) const;

private:
    static constexpr std::size_t binCount = 2'000;

    double shareAbove(double latencyMs) const;

    std::array<double, binCount> bins {};
    double total = 0;
};

} // namespace bulrush::bench
