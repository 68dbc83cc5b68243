#pragma once

#include "soak/InvariantChecker.h"
#include "soak/NodeProcess.h"
#include "soak/SoakCallers.h"
#include "soak/StoreServer.h"
#include "soak/WorkerServer.h"

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace bulrush::soak {

struct SoakSettings
{
    std::string daemon;
    std::string folder;
    unsigned seed = 1;
    int nodes = 4;
    int workers = 8;
    /** How long faults are injected. */
    std::chrono::seconds faultDuration { 20 };
    /** Whether workers are also cut off soon after restarts, with commands carried out late. */
    bool cutsAfterRestarts = false;
    /** Whether callers also cancel jobs whose submission was not answered, and the store carries
        out some submissions late. */
    bool earlyCancellations = false;
    /** Whether data centres are evacuated beside the faults. */
    bool evacuations = false;
};

/** The results of a run. */
struct SoakResult
{
    std::vector<std::string> violations;
    std::vector<std::string> unfinishedJobs;
    std::size_t accepted = 0;
    std::uint64_t runs = 0;
    std::string faults;
};

/**
    One seeded run: starts daemon processes, injects faults from outside, then ends all faults and
    waits until all jobs are finished or the completion timeout is over.
*/
class SoakRun
{
public:
    explicit SoakRun(const SoakSettings &settings);
    ~SoakRun();

    SoakResult run();

private:
    using TimePoint = std::chrono::steady_clock::time_point;

    /** An action that ends a fault or is the next of a series, and when it is due. */
    struct ScheduledRecovery
    {
        TimePoint dueAt;
        std::function<void()> recover;
    };

    using FaultInjector = std::function<void()> (SoakRun::*)();

    struct FaultKind
    {
        const char *name;
        FaultInjector inject;
    };

    static const std::vector<FaultKind> &faultKinds();

    std::function<void()> killNode();
    std::function<void()> pauseNode();
    std::function<void()> restartNode();
    std::function<void()> stopStore();
    std::function<void()> slowStore();
    std::function<void()> dropStoreAnswers();
    std::function<void()> silenceWorker();
    std::function<void()> crashWorker();

    void injectFault();

    /** Begins a series on some workers: they go down, silently, and are back as new processes, then
        are cut off for longer than a lease. Sometimes commands to them are carried out late. */
    void restartAndCutOffWorkers();
    void scheduleRestartAndCut(WorkerServer &worker);

    /** Publishes a new version of the configuration and lets a node read its settings again. */
    void changeConfiguration();
    /** Requests the evacuation of a data centre, or withdraws the request, and judges no starts
        while a daemon may be out of touch. */
    void changeEvacuations(TimePoint now);
    void withdrawEvacuation(const std::string &dataCentre);
    void recoverDueFaults(bool all);
    void publishWorkers();
    NodeProcess &randomNode();
    WorkerServer &randomWorker();

    const SoakSettings settings;
    std::mt19937 random;
    /** For the changes of the configuration, so that they do not alter a seed's faults. */
    std::mt19937 changeRandom;
    /** For the series of restarts and cuts, for the same reason. */
    std::mt19937 seriesRandom;
    /** For the evacuations, for the same reason. */
    std::mt19937 evacuationRandom;
    TimePoint nextEvacuation {};
    std::set<std::string> evacuated;
    int pausedNodes = 0;
    int configVersion = 1;
    InvariantChecker checker;
    StoreServer store;
    std::vector<std::unique_ptr<WorkerServer>> workers;
    std::vector<std::unique_ptr<NodeProcess>> nodes;
    std::vector<ScheduledRecovery> recoveries;
    /** Workers that are in a series of a restart and a cut. */
    std::set<std::string> workersInSeries;
    std::string faultNames;
};

} // namespace bulrush::soak
