#pragma once

#include "soak/Judge.h"
#include "soak/NodeProcess.h"
#include "soak/SoakCallers.h"
#include "soak/StoreServer.h"
#include "soak/WorkerServer.h"

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <random>
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
    /** For how long faults come. */
    std::chrono::seconds faultSpan { 20 };
};

/** What a run found. */
struct SoakResult
{
    std::vector<std::string> broken;
    std::vector<std::string> unfinished;
    std::size_t accepted = 0;
    std::uint64_t runs = 0;
    std::string faults;
};

/** One seeded run: real daemons, faults from outside, then calm until all jobs are finished. */
class SoakRun
{
public:
    explicit SoakRun(const SoakSettings &settings);
    ~SoakRun();

    SoakResult run();

private:
    using Time = std::chrono::steady_clock::time_point;

    /** Something that is put right again at a time. */
    struct Repair
    {
        Time at;
        std::function<void()> act;
    };

    using FaultStarter = std::function<void()> (SoakRun::*)();

    struct FaultKind
    {
        const char *name;
        FaultStarter begin;
    };

    static const std::vector<FaultKind> &faultKinds();

    std::function<void()> killNode();
    std::function<void()> pauseNode();
    std::function<void()> restartNode();
    std::function<void()> stopStore();
    std::function<void()> slowStore();
    std::function<void()> loseStoreAnswers();
    std::function<void()> silenceWorker();
    std::function<void()> crashWorker();

    void beginFault();
    void repairDue(bool all);
    void publish();
    NodeProcess &anyNode();
    WorkerServer &anyWorker();

    const SoakSettings settings;
    std::mt19937 random;
    Judge judge;
    StoreServer store;
    std::vector<std::unique_ptr<WorkerServer>> workers;
    std::vector<std::unique_ptr<NodeProcess>> nodes;
    std::vector<Repair> repairs;
    std::string faultNames;
};

} // namespace bulrush::soak
