#pragma once

#include "LoadModel.h"

#include "bulrush_core/time/Clock.h"
#include "bulrush_placement/view/Resources.h"

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace bulrush::bench {

/** A batch task on a worker, or on its way back to the queue. */
struct RunningTask
{
    Arrival arrival;
    double doneSeconds = 0; ///< of its work at full speed
    double checkpointedSeconds = 0; ///< what a lost attempt starts again from
    double sinceCheckpoint = 0; ///< seconds
    bool isThrottled = false;
    int movingIn = -1; ///< seconds until the asked checkpoint is written; -1 for none
};

/** What a worker reports about one service's replica. */
struct ServiceReport
{
    std::size_t service = 0;
    double slowdown = 1;
};

/** The use of all tasks of one class on a worker. */
struct ClassReport
{
    std::size_t batchClass = 0;
    placement::Resources declared;
    placement::Resources used;
};

/** What a worker measured; it arrives late. */
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
    std::vector<RunningTask> killed; ///< by the worker, which ran out of memory
    double coreSeconds = 0; ///< batch work done in this second, at full speed
};

/**
    A stand-in for a worker: it runs tasks and replicas and answers as the load model says.

    Services go before batch tasks when processors run short; a shortage of memory kills the batch
    task that uses most beyond its declared size.
*/
class FakeWorker
{
public:
    void startBatch(const RunningTask &task);
    void startService(std::size_t service) { this->replicas.push_back(service); }
    void stopServices() { this->replicas.clear(); }

    /** Takes a batch task out at once. @returns it as it was */
    RunningTask stop(const JobId &job);

    void setThrottled(const JobId &job, bool isThrottled);

    /** Asks for a checkpoint, after which the task is handed back. */
    void checkpointAndStop(const JobId &job);

    /** Runs one second. @param serviceLoads the load of each service's replicas */
    Departures tick(const LoadModel &model, const std::vector<double> &serviceLoads);

    /** Returns the slowdown of a service's replica in the last second. */
    double slowdown(const LoadModel &model, std::size_t service, double load) const;

    WorkerReport report(LoadModel &model, const std::vector<double> &serviceLoads) const;

    const std::unordered_map<JobId, RunningTask> &tasks() const { return this->running; }
    const std::vector<std::size_t> &services() const { return this->replicas; }

    /** Returns the processors that a task really uses, in thousandths. */
    static double cpuMilli(const RunningTask &task);

private:
    double serviceDemand(const LoadModel &model, const std::vector<double> &loads) const;
    double batchDemand() const;
    void killForMemory(const LoadModel &model, Departures &departures);
    /** Runs a task for a second. @returns the core seconds of work that it did */
    static double advance(RunningTask &task, double speed);

    std::unordered_map<JobId, RunningTask> running;
    std::vector<std::size_t> replicas;
    double use = 0; ///< demanded processors over those there are, in the last second
};

} // namespace bulrush::bench
