#include "soak/SoakRun.h"

#include <thread>

namespace bulrush::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds startupTime { 3 };
constexpr milliseconds pollInterval { 50 };
constexpr seconds completionTimeout { 60 };

/** Interval between the starts of two faults, and duration of a fault. */
constexpr int minFaultIntervalMs = 200;
constexpr int maxFaultIntervalMs = 1500;
constexpr int minFaultDurationMs = 300;
constexpr int maxFaultDurationMs = 3000;

/** Series of restarts and cuts: interval between two, workers of one, how long a process is down,
    how long the new one is connected, and how long it is cut off (a lease lasts 3 s at most). */
constexpr int minSeriesIntervalMs = 1500;
constexpr int maxSeriesIntervalMs = 5000;
constexpr int maxSeriesWorkers = 3;
constexpr int minDownMs = 200;
constexpr int maxDownMs = 600;
constexpr int minConnectedMs = 300;
constexpr int maxConnectedMs = 2500;
constexpr int minCutMs = 3300;
constexpr int maxCutMs = 6000;
constexpr int lateCommandsPercent = 30;
constexpr int maxLateCommandsMs = 1000;

/** The time until all nodes are in touch, that for a cancellation, and that for a stop. */
constexpr milliseconds cancelledJobsEndTime = seconds(3) + seconds(3) + milliseconds(200);

constexpr int lateSubmissionsPercent = 30;
constexpr int storeDelayMs = 250;
constexpr int storeLossPercent = 30;

/** Interval between two changes of the evacuations, the time after the confirmation of a request
    within which starts must end, the time until a resumed node is in touch again, and that until a
    node notices that the store is back. */
constexpr int minEvacuationIntervalMs = 1000;
constexpr int maxEvacuationIntervalMs = 5000;
constexpr std::int64_t evacuationBoundMs = 2500;
constexpr std::int64_t contactMs = 3000;
constexpr std::int64_t storeReturnMs = 500;

const std::vector<std::string> dataCentres { "z1", "z2", "z3" };

/** Interval between two changes of the configuration or the settings, which come beside the faults.
 */
constexpr int minChangeIntervalMs = 300;
constexpr int maxChangeIntervalMs = 1200;

/** Returns the configuration as text. Versions differ in the route's timeout. */
std::string configuration(int version)
{
    constexpr int shortestTimeoutMs = 1500;
    constexpr int timeouts = 5;
    return R"({"version":)" + std::to_string(version) + R"(,"limits":{},
"services":[{"name":"review","admissionCheck":true}],
"routes":[{"name":"q","host":"soak.example","pathPrefix":"/q/","service":"review","maxAttempts":3,
"timeoutMs":)"
            + std::to_string(shortestTimeoutMs + 100 * (version % timeouts)) + "}]}";
}

} // namespace

SoakRun::SoakRun(const SoakSettings &soakSettings)
    : settings(soakSettings)
    , random(soakSettings.seed)
    , changeRandom(soakSettings.seed + 1)
    , seriesRandom(soakSettings.seed + 2)
    , evacuationRandom(soakSettings.seed + 3)
    , checker(soakSettings.folder + "/workers.log")
    , store(soakSettings.seed)
{
    const int storePort = this->store.start();
    this->store.put("keyed.op", "config", configuration(this->configVersion));
    for (int number = 1; number <= this->settings.workers; ++number) {
        const auto &dataCentre = dataCentres.at(this->settings.evacuations ? number % 3 : 0);
        this->workers.push_back(std::make_unique<WorkerServer>(
                "w" + std::to_string(number), this->checker,
                this->settings.seed + static_cast<unsigned>(number), dataCentre));
        this->checker.setDataCentre(this->workers.back()->workerName(), dataCentre);
    }
    this->publishWorkers();
    for (int number = 1; number <= this->settings.nodes; ++number) {
        this->nodes.push_back(std::make_unique<NodeProcess>(
                this->settings.daemon, number, storePort, this->settings.folder,
                this->settings.evacuations ? evacuationBoundMs : 0));
        this->nodes.back()->start();
    }
}

SoakRun::~SoakRun()
{
    this->nodes.clear();
}

void SoakRun::publishWorkers()
{
    for (const auto &worker : this->workers) {
        this->store.put("keyed.servers", worker->workerName(), worker->listEntry());
    }
}

NodeProcess &SoakRun::randomNode()
{
    return *this->nodes.at(this->random() % this->nodes.size());
}

WorkerServer &SoakRun::randomWorker()
{
    return *this->workers.at(this->random() % this->workers.size());
}

std::function<void()> SoakRun::killNode()
{
    NodeProcess &node = this->randomNode();
    node.kill();
    return [&node] {
        if (!node.isRunning()) {
            node.start();
        }
    };
}

std::function<void()> SoakRun::pauseNode()
{
    NodeProcess &node = this->randomNode();
    node.pause();
    ++this->pausedNodes;
    return [this, &node] {
        --this->pausedNodes;
        node.resume();
    };
}

std::function<void()> SoakRun::restartNode()
{
    NodeProcess &node = this->randomNode();
    node.resume();
    node.requestStop();
    return [&node] {
        node.stopGracefully();
        node.start();
    };
}

std::function<void()> SoakRun::stopStore()
{
    this->store.faults.down = true;
    return [this] { this->store.faults.down = false; };
}

std::function<void()> SoakRun::slowStore()
{
    this->store.faults.delayMs = storeDelayMs;
    return [this] { this->store.faults.delayMs = 0; };
}

std::function<void()> SoakRun::dropStoreAnswers()
{
    this->store.faults.lossPercent = storeLossPercent;
    return [this] { this->store.faults.lossPercent = 0; };
}

std::function<void()> SoakRun::silenceWorker()
{
    WorkerServer &worker = this->randomWorker();
    worker.silent = true;
    return [&worker] { worker.silent = false; };
}

std::function<void()> SoakRun::crashWorker()
{
    this->randomWorker().crash();
    return [this] { this->publishWorkers(); };
}

const std::vector<SoakRun::FaultKind> &SoakRun::faultKinds()
{
    static const std::vector<FaultKind> kinds {
        { "kill-node", &SoakRun::killNode },
        { "pause-node", &SoakRun::pauseNode },
        { "restart-node", &SoakRun::restartNode },
        { "store-down", &SoakRun::stopStore },
        { "store-slow", &SoakRun::slowStore },
        { "store-loses-answers", &SoakRun::dropStoreAnswers },
        { "worker-silent", &SoakRun::silenceWorker },
        { "worker-crash", &SoakRun::crashWorker },
    };
    return kinds;
}

void SoakRun::injectFault()
{
    const FaultKind &kind = faultKinds().at(this->random() % faultKinds().size());
    this->faultNames += std::string(this->faultNames.empty() ? "" : " ") + kind.name;
    std::uniform_int_distribution<int> duration(minFaultDurationMs, maxFaultDurationMs);
    const TimePoint end = std::chrono::steady_clock::now() + milliseconds(duration(this->random));
    this->recoveries.push_back({ end, (this->*kind.inject)() });
}

void SoakRun::restartAndCutOffWorkers()
{
    const int count = 1 + static_cast<int>(this->seriesRandom() % maxSeriesWorkers);
    for (int number = 0; number < count; ++number) {
        WorkerServer &worker = *this->workers.at(this->seriesRandom() % this->workers.size());
        if (this->workersInSeries.insert(worker.workerName()).second) {
            this->scheduleRestartAndCut(worker);
        }
    }
}

void SoakRun::scheduleRestartAndCut(WorkerServer &worker)
{
    const auto draw = [this](int least, int most) {
        return milliseconds(std::uniform_int_distribution<int>(least, most)(this->seriesRandom));
    };
    const bool drops = this->seriesRandom() % 2 == 0;
    const bool late = this->seriesRandom() % 2 == 0;
    this->faultNames += " restart-cut-" + worker.workerName() + (late ? "-late" : "");
    worker.latePercent = late ? lateCommandsPercent : 0;
    TimePoint at = std::chrono::steady_clock::now();
    at += draw(0, late ? maxLateCommandsMs : 0);
    this->recoveries.push_back({ at, [&worker, drops] { worker.cutOff(drops); } });
    at += draw(minDownMs, maxDownMs);
    this->recoveries.push_back({ at, [&worker] {
                                    worker.crash();
                                    worker.runsLong = true;
                                    worker.reconnect();
                                } });
    at += draw(minConnectedMs, maxConnectedMs);
    this->recoveries.push_back({ at, [&worker, drops] { worker.cutOff(drops); } });
    at += draw(minCutMs, maxCutMs);
    this->recoveries.push_back({ at, [this, &worker] {
                                    worker.latePercent = 0;
                                    worker.runsLong = false;
                                    worker.reconnect();
                                    this->workersInSeries.erase(worker.workerName());
                                    this->publishWorkers();
                                } });
}

void SoakRun::changeConfiguration()
{
    // Versions rise in uneven steps.
    this->configVersion += 1 + static_cast<int>(this->changeRandom() % 3);
    this->store.put("keyed.op", "config", configuration(this->configVersion));
    this->nodes.at(this->changeRandom() % this->nodes.size())->requestReload();
}

void SoakRun::withdrawEvacuation(const std::string &dataCentre)
{
    this->checker.recordEvacuationWithdrawn(dataCentre);
    this->store.put("keyed.op", "evacuate/" + dataCentre, "");
}

void SoakRun::changeEvacuations(TimePoint now)
{
    // While the store is down, a daemon may go on without a request that it could not read.
    if (this->pausedNodes > 0 || this->store.faults.down) {
        this->checker.excuseStarts(this->pausedNodes > 0 ? contactMs : storeReturnMs);
    }
    if (now < this->nextEvacuation || this->store.faults.down) {
        return;
    }
    std::uniform_int_distribution<int> interval(minEvacuationIntervalMs, maxEvacuationIntervalMs);
    this->nextEvacuation = now + milliseconds(interval(this->evacuationRandom));
    const std::string &dataCentre = dataCentres.at(this->evacuationRandom() % dataCentres.size());
    if (this->evacuated.erase(dataCentre) > 0) {
        this->withdrawEvacuation(dataCentre);
    } else if (this->evacuated.size() + 1 < dataCentres.size()) {
        this->evacuated.insert(dataCentre);
        this->store.put("keyed.op", "evacuate/" + dataCentre, "{}");
        this->checker.recordEvacuationConfirmed(dataCentre, evacuationBoundMs);
    }
}

void SoakRun::recoverDueFaults(bool all)
{
    const TimePoint now = std::chrono::steady_clock::now();
    for (auto recovery = this->recoveries.begin(); recovery != this->recoveries.end();) {
        if (all || recovery->dueAt <= now) {
            recovery->recover();
            recovery = this->recoveries.erase(recovery);
        } else {
            ++recovery;
        }
    }
}

SoakResult SoakRun::run()
{
    std::this_thread::sleep_for(startupTime);
    std::vector<std::string> addresses;
    for (const auto &node : this->nodes) {
        addresses.push_back(node->address());
    }
    this->store.faults.lateSubmissionsPercent =
            this->settings.earlyCancellations ? lateSubmissionsPercent : 0;
    SoakCallers callers(addresses, this->nodes.front()->callersPort(), this->checker,
                        this->settings.seed, this->settings.earlyCancellations);
    std::uniform_int_distribution<int> interval(minFaultIntervalMs, maxFaultIntervalMs);
    const TimePoint faultsEnd = std::chrono::steady_clock::now() + this->settings.faultDuration;
    std::uniform_int_distribution<int> changeInterval(minChangeIntervalMs, maxChangeIntervalMs);
    TimePoint nextFault = std::chrono::steady_clock::now();
    TimePoint nextChange = nextFault;
    std::uniform_int_distribution<int> seriesInterval(minSeriesIntervalMs, maxSeriesIntervalMs);
    TimePoint nextSeries = nextFault;
    while (std::chrono::steady_clock::now() < faultsEnd) {
        if (std::chrono::steady_clock::now() >= nextFault) {
            this->injectFault();
            nextFault = std::chrono::steady_clock::now() + milliseconds(interval(this->random));
        }
        if (std::chrono::steady_clock::now() >= nextChange) {
            this->changeConfiguration();
            nextChange = std::chrono::steady_clock::now()
                    + milliseconds(changeInterval(this->changeRandom));
        }
        if (this->settings.cutsAfterRestarts && std::chrono::steady_clock::now() >= nextSeries) {
            this->restartAndCutOffWorkers();
            nextSeries = std::chrono::steady_clock::now()
                    + milliseconds(seriesInterval(this->seriesRandom));
        }
        if (this->settings.evacuations) {
            this->changeEvacuations(std::chrono::steady_clock::now());
        }
        this->recoverDueFaults(false);
        std::this_thread::sleep_for(pollInterval);
    }
    this->recoverDueFaults(true);
    for (const std::string &dataCentre : this->evacuated) {
        this->withdrawEvacuation(dataCentre);
    }
    this->store.faults.lateSubmissionsPercent = 0;
    // Waits, since a job that is accepted last has to be finished too.
    callers.stopSubmitting();
    callers.waitUntilStopped();
    const TimePoint completionDeadline = std::chrono::steady_clock::now() + completionTimeout;
    while (!this->checker.unfinishedJobs().empty()
           && std::chrono::steady_clock::now() < completionDeadline) {
        callers.queryUnfinishedJobs();
        std::this_thread::sleep_for(pollInterval);
    }
    if (this->settings.earlyCancellations) {
        std::this_thread::sleep_for(cancelledJobsEndTime);
        this->checker.checkCancelledJobsHaveEnded();
    }
    return { this->checker.violations(), this->checker.unfinishedJobs(),
             this->checker.acceptedCount(), this->checker.runCount(), this->faultNames };
}

} // namespace bulrush::soak
