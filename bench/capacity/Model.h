#pragma once

#include "Series.h"
#include "Target.h"

#include <string>
#include <vector>

namespace bulrush::bench {

/** A cost that is spread over N nodes as each + shared / N + perPeer * (N - 1). */
struct Cost
{
    double each = 0;
    double shared = 0;
    double perPeer = 0;

    /** Returns what one node bears of it. */
    double at(double nodes) const
    {
        return this->each + this->shared / nodes + this->perPeer * (nodes - 1);
    }

    Cost &operator+=(const Cost &other);
};

/** What one role costs at the target's size. */
struct RoleCost
{
    std::string role;
    Cost bytes; ///< a second, sent and received
    Cost core; ///< share of a core
    Cost memory; ///< bytes
    Cost appends; ///< to the log, a second
};

/** Works out each role's cost at the target's size from the fits. */
class Model
{
public:
    /** @param series all that was measured; outlives the model */
    Model(const std::vector<Series> &series, const Target &target, const Assumptions &assumptions);

    /** Returns the roles of today's build. */
    std::vector<RoleCost> today() const;

    /** Returns the roles with the changes that docs/CAPACITY.md proposes. */
    std::vector<RoleCost> proposed() const;

private:
    const Series &find(const std::string &name) const;
    Fit fit(const std::string &name) const;
    double valueAt(const std::string &name, double size) const; ///< as measured at the size
    double greatest(const std::string &name) const; ///< value at the greatest size

    RoleCost base() const;
    RoleCost vmList() const;
    RoleCost vmListOfDataCentre() const;
    double exchangeBytes(const std::string &trial, double tasks) const;
    double exchangeMicros(double tasks) const;
    double startExchanges() const;
    RoleCost exchanges() const;
    RoleCost smallExchanges() const;
    RoleCost ticks() const;
    RoleCost busyOwners() const;
    RoleCost starts(double workersPerGroup) const;
    RoleCost workStream(double workersPerGroup, double streams) const;
    RoleCost records(double copies, double mostReads) const;
    RoleCost emptyReads(double groups, double readsPerSecond) const;
    RoleCost heartbeats() const;
    RoleCost heartbeats(double peers) const;
    RoleCost keys(double streams) const;

    const std::vector<Series> &all;
    Target target;
    Assumptions assumed;
};

/** Returns the sum of all roles. */
RoleCost totalOf(const std::vector<RoleCost> &roles);

/** Returns the least number of nodes at which a cost is within a limit; 0 when at none. */
int leastNodes(const Cost &cost, double limit);

} // namespace bulrush::bench
