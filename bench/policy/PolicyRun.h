#pragma once

#include "FakeWorker.h"
#include "LatencyMixture.h"
#include "LoadModel.h"
#include "Variant.h"

#include "bulrush_interference/bulrush_interference.h"
#include "bulrush_placement/bulrush_placement.h"

#include <deque>
#include <random>
#include <unordered_map>
#include <vector>

namespace bulrush::bench {

/** The capacity of every worker. */
inline constexpr placement::Resources workerCapacity { 64'000, 250'000, 0 };

/** Minimum seconds between two evictions by the guard on one worker. */
inline constexpr int guardInterval = 60;

/** Returns the instant of a second of the run. */
inline Instant at(int second)
{
    return Instant(seconds(second));
}

/** The measurements of one run. */
struct RunResult
{
    double p50Ms = 0;
    double p99Ms = 0;
    double p999Ms = 0;
    double lateShare = 0;
    double batchCoreHours = 0; ///< work of finished and running tasks, without lost work
    double finishedCoreHours = 0; ///< of finished tasks only
    double lostCoreHours = 0; ///< work lost because no checkpoint covered it
    int evictions = 0;
    int moves = 0;
    int lostWithWorkers = 0; ///< attempts lost together with their worker
    int finished = 0;
    double urgentWaitP99Seconds = 0;
};

/** Simulates one load with one policy on fake workers, in steps of a second. */
class PolicyRun
{
public:
    PolicyRun(const Deployment &deployment, Shape shape, const Variant &variant,
              std::uint64_t seed);

    /** Runs the simulation to its end. */
    RunResult run();

private:
    struct Waiting
    {
        RunningTask task;
        int since = 0;
    };

    void addWorkers();
    void placeServices();
    void placeService(std::size_t service, int second);
    void applyFaults(int second);
    void loseWorker(placement::WorkerSlot slot, int second);
    void drain(int second);
    void startReady(int second);
    bool tryStart(const placement::QueuedTask &queued, int second);
    void runWorkers(int second);
    void applyDepartures(placement::WorkerSlot slot, const Departures &departures, int second);
    void processReports(int second);
    void updateEstimates(const WorkerReport &report);
    void relievePressure(const WorkerReport &report, int second);
    void evictByGuard(const WorkerReport &report, double slowdown, int second);
    void applyAction(const interference::LadderAction &action, placement::WorkerSlot slot,
                     int second);
    void evict(const RunningTask &task, placement::WorkerSlot slot, int second);
    void requeue(RunningTask task, int second);
    void discardLostWork(RunningTask &task, int second);
    std::vector<double> serviceLoads(int second) const;
    void measureServices(placement::WorkerSlot slot, const std::vector<double> &loads, int second);
    bool isMeasured(int second) const;
    RunResult result();

    const Deployment &deployment;
    Shape shape;
    const Variant &variant;
    LoadModel model;
    std::mt19937_64 random;
    placement::PlacementPolicy policy;
    placement::UsageModel usage;
    placement::WorkerTable table;
    placement::ReadyQueue queue;
    placement::QuotaTable quotas;
    interference::PairEstimates pairs;
    interference::Ladder ladder;
    interference::PressureFilter filter;
    std::vector<FakeWorker> workers;
    std::vector<bool> isAlive;
    std::vector<int> lastGuardEvictions;
    std::unordered_map<JobId, Waiting> waiting;
    std::deque<WorkerReport> reports;
    std::deque<std::pair<int, std::size_t>> lostReplicas; ///< restart second and service
    std::vector<int> liveReplicas;
    std::vector<double> urgentWaits;
    LatencyMixture latency;
    RunResult totals;
};

} // namespace bulrush::bench
