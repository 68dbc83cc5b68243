#pragma once

#include "LoadModel.h"

#include "bulrush_core/time/Clock.h"
#include "bulrush_placement/view/Resources.h"

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace bulrush::bench {

/** A batch task that runs on a worker or returns to the queue. */
struct RunningTask
{
    Arrival arrival;
    double doneSeconds = 0; ///< completed work, in seconds at full speed
    double checkpointedSeconds =
            0; ///< work up to the checkpoint from which a lost attempt restarts
    double secondsSinceCheckpoint = 0;
    bool isThrottled = false;
    int secondsToMove = -1; ///< until the requested checkpoint is written; -1 if none was requested
};

/** Measured slowdown of one service's replica. */
struct ServiceReport
{
    std::size_t service = 0;
    double slowdown = 1;
};

/** Declared and used resources of all tasks of one batch class on a worker. */
struct ClassReport
{
    std::size_t batchClass = 0;
    placement::Resources declared;
    placement::Resources used;
};

/** Measurements of one worker, which reach the policy after a delay. */
struct WorkerReport
{
    std::size_t worker = 0;
    Instant measuredAt {};
    std::vector<ServiceReport> services;
    std::vector<double> serviceCpuMilli;
    std::vector<ClassReport> classes;
};

/** Batch tasks that left a worker within one second. */
struct Departures
{
    std::vector<RunningTask> finished;
    std::vector<RunningTask> moved;
    std::vector<RunningTask> killed; ///< by the worker, because it ran out of memory
    double coreSeconds = 0; ///< batch work done in this second, at full speed
};

/**
    A simulated worker. It runs batch tasks and service replicas; their resource use and slowdown
    follow the load model.

    When processors are short, services take precedence over batch tasks. When memory is short, the
    batch task that exceeds its declared size by most is killed.
*/
class FakeWorker
{
public:
    void startBatch(const RunningTask &task);
    void startService(std::size_t service) { this->replicas.push_back(service); }
    void stopServices() { this->replicas.clear(); }

    /** Removes a batch task immediately. @returns the task with its progress */
    RunningTask stop(const JobId &job);

    void setThrottled(const JobId &job, bool isThrottled);

    /** Requests a checkpoint. When it is written, the task departs as moved. */
    void checkpointAndStop(const JobId &job);

    /** Simulates one second. @param serviceLoads the load of each service's replicas */
    Departures tick(const LoadModel &model, const std::vector<double> &serviceLoads);

    /** Returns the slowdown of a service's replica in the last second. */
    double slowdown(const LoadModel &model, std::size_t service, double load) const;

    WorkerReport report(LoadModel &model, const std::vector<double> &serviceLoads) const;

    const std::unordered_map<JobId, RunningTask> &tasks() const { return this->running; }
    const std::vector<std::size_t> &services() const { return this->replicas; }

    /** Returns the processor use of a task, in thousandths of a core. */
    static double cpuMilli(const RunningTask &task);

private:
    double serviceDemand(const LoadModel &model, const std::vector<double> &loads) const;
    double batchDemand() const;
    void killForMemory(const LoadModel &model, Departures &departures);
    /** Advances a task by one second. @returns the work done, in core seconds */
    static double advance(RunningTask &task, double speed);

    std::unordered_map<JobId, RunningTask> running;
    std::vector<std::size_t> replicas;
    double utilisation = 0; ///< processor demand over capacity in the last second
};

} // namespace bulrush::bench
