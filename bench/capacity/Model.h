#pragma once

#include "Series.h"
#include "Target.h"

#include <string>
#include <vector>

namespace bulrush::bench {

/** A cost per node in a cluster of N nodes: each + shared / N + perPeer * (N - 1). */
struct Cost
{
    double each = 0;
    double shared = 0;
    double perPeer = 0;

    /** Returns the cost of one node. */
    double at(double nodes) const
    {
        return this->each + this->shared / nodes + this->perPeer * (nodes - 1);
    }

    Cost &operator+=(const Cost &other);
};

/** The cost of one role at the target's size. */
struct RoleCost
{
    std::string role;
    Cost bytes; ///< per second, sent and received
    Cost core; ///< share of a core
    Cost memory; ///< bytes
    Cost appends; ///< to the log, per second
};

/** Computes each role's cost at the target's size from the fitted lines. */
class Model
{
public:
    /** @param series all measured series; must outlive the model */
    Model(const std::vector<Series> &series, const Target &target, const Assumptions &assumptions);

    /** Returns the costs of the current build. */
    std::vector<RoleCost> today() const;

    /** Returns the costs with the changes that docs/CAPACITY.md proposes. */
    std::vector<RoleCost> proposed() const;

private:
    const Series &find(const std::string &name) const;
    Fit fit(const std::string &name) const;
    double valueAt(const std::string &name, double size) const; ///< measured value at the size
    double valueAtMaxSize(const std::string &name) const; ///< measured value at the largest size

    RoleCost baseProcess() const;
    RoleCost vmList() const;
    RoleCost vmListPerDataCentre() const;
    double exchangeBytes(const std::string &seriesSuffix, double tasks) const;
    double exchangeMicros(double tasks) const;
    double startExchanges() const;
    RoleCost exchanges() const;
    RoleCost compactExchanges() const;
    RoleCost ticks() const;
    RoleCost changeDrivenOwners() const;
    RoleCost groupStreams(double workersPerGroup) const;
    RoleCost workStream(double workersPerGroup, double streams) const;
    RoleCost records(double duplicateShare, double maxReadsPerSecond) const;
    RoleCost emptyReads(double groups, double readsPerSecond) const;
    RoleCost heartbeats() const;
    RoleCost heartbeats(double peers) const;
    RoleCost keys(double streams) const;

    const std::vector<Series> &allSeries;
    Target target;
    Assumptions assumed;
};

/** Returns the sum of all roles. */
RoleCost totalOf(const std::vector<RoleCost> &roles);

/** Returns the minimum number of nodes at which one node's cost is within a limit, or 0 if there
    is none. */
int minNodes(const Cost &cost, double limit);

} // namespace bulrush::bench
