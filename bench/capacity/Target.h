#pragma once

namespace bulrush::bench {

/** The size that the system is built for, as DEVELOPERS.md states it. */
struct Target
{
    double workers = 1'900;
    double jobsPerDay = 30'000;
    double startsPerSecond = 220; ///< at the peak
    double latencyCriticalTasks = 10'000;
    double batchTasks = 48'000;
    double teams = 86;
    double dataCentres = 5;
    double changesPerDay = 2'400;
    double bytesPerSecond = 8 * 1'024; ///< a node, sent and received together
    double coreShare = 0.041; ///< of a core, a node
    double memoryBytes = 64 * 1'024 * 1'024.0; ///< a node

    double tasks() const { return this->latencyCriticalTasks + this->batchTasks; }
    double tasksPerWorker() const { return this->tasks() / this->workers; }
};

/** What the target leaves open. docs/CAPACITY.md names the reason of each. */
struct Assumptions
{
    double httpBytes = 300; ///< request line, headers and status line of one call, both ways
    double peakFactor = 5; ///< peak rate over the mean of a day
    double ranges = 3'400; ///< unfinished task ranges of all groups
    double waitingJobs = 1'000; ///< jobs in the book that wait for room at the peak
    double recordsInForce = 2'900; ///< services, watchers, quotas, policy, jobs
    double keyedRequestsPerSecond = 10; ///< non-idempotent requests of all callers
    double keyLifetime = 3'600; ///< seconds
    double workersPerGroup = 11; ///< a group is a rack
    double logWay = 0.05; ///< seconds from an append until all nodes have read it
};

} // namespace bulrush::bench
