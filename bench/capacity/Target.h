#pragma once

namespace bulrush::bench {

/** The size that the system is designed for, as stated in DEVELOPERS.md. */
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
    double bytesPerSecond = 8 * 1'024; ///< per node, sent and received together
    double coreShare = 0.041; ///< of a core, per node
    double memoryBytes = 64 * 1'024 * 1'024.0; ///< per node

    double tasks() const { return this->latencyCriticalTasks + this->batchTasks; }
    double tasksPerWorker() const { return this->tasks() / this->workers; }
};

/** Values that the target does not define. docs/CAPACITY.md gives the reason for each. */
struct Assumptions
{
    double httpBytes = 300; ///< request line, status line and headers of one call, both directions
    double peakFactor = 5; ///< ratio of the peak rate to the daily mean
    double ranges = 3'400; ///< unfinished task ranges of all groups
    double waitingJobs = 1'000; ///< open jobs that wait for capacity at the peak
    double recordsInForce = 2'900; ///< services, watchers, quotas, policy, jobs
    double keyedRequestsPerSecond = 10; ///< non-idempotent requests of all callers
    double keyLifetime = 3'600; ///< seconds
    double workersPerGroup = 11; ///< a group is a rack
    double logLatency = 0.05; ///< seconds from an append until all nodes have read it
};

} // namespace bulrush::bench
