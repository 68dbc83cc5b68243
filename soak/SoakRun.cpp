#include "soak/SoakRun.h"

#include <thread>

namespace bulrush::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds startSpan { 3 };
constexpr milliseconds beat { 50 };
constexpr seconds longestFinish { 60 };

/** Between the beginnings of two faults, and how long one lasts. */
constexpr int leastGapMs = 200;
constexpr int greatestGapMs = 1500;
constexpr int leastFaultMs = 300;
constexpr int greatestFaultMs = 3000;

constexpr int slowStoreMs = 250;
constexpr int lostStorePercent = 30;

constexpr const char *configuration = R"({"version":1,"limits":{},
"services":[{"name":"review","admissionCheck":true}],
"routes":[{"name":"q","host":"soak.example","pathPrefix":"/q/","service":"review","maxAttempts":3}]})";

} // namespace

SoakRun::SoakRun(const SoakSettings &soakSettings)
    : settings(soakSettings)
    , random(soakSettings.seed)
    , store(soakSettings.seed)
{
    const int storePort = this->store.start();
    this->store.put("keyed.op", "config", configuration);
    for (int number = 1; number <= this->settings.workers; ++number) {
        this->workers.push_back(
                std::make_unique<WorkerServer>("w" + std::to_string(number), this->judge));
    }
    this->publish();
    for (int number = 1; number <= this->settings.nodes; ++number) {
        this->nodes.push_back(std::make_unique<NodeProcess>(this->settings.daemon, number,
                                                            storePort, this->settings.folder));
        this->nodes.back()->start();
    }
}

SoakRun::~SoakRun()
{
    this->nodes.clear();
}

void SoakRun::publish()
{
    for (const auto &worker : this->workers) {
        this->store.put("keyed.servers", worker->workerName(), worker->entry());
    }
}

NodeProcess &SoakRun::anyNode()
{
    return *this->nodes.at(this->random() % this->nodes.size());
}

WorkerServer &SoakRun::anyWorker()
{
    return *this->workers.at(this->random() % this->workers.size());
}

std::function<void()> SoakRun::killNode()
{
    NodeProcess &node = this->anyNode();
    node.kill();
    return [&node] {
        if (!node.isRunning()) {
            node.start();
        }
    };
}

std::function<void()> SoakRun::pauseNode()
{
    NodeProcess &node = this->anyNode();
    node.pause();
    return [&node] { node.resume(); };
}

std::function<void()> SoakRun::restartNode()
{
    NodeProcess &node = this->anyNode();
    node.resume();
    node.askToStop();
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
    this->store.faults.slowMs = slowStoreMs;
    return [this] { this->store.faults.slowMs = 0; };
}

std::function<void()> SoakRun::loseStoreAnswers()
{
    this->store.faults.lostPercent = lostStorePercent;
    return [this] { this->store.faults.lostPercent = 0; };
}

std::function<void()> SoakRun::silenceWorker()
{
    WorkerServer &worker = this->anyWorker();
    worker.silent = true;
    return [&worker] { worker.silent = false; };
}

std::function<void()> SoakRun::crashWorker()
{
    this->anyWorker().crash();
    return [this] { this->publish(); };
}

const std::vector<SoakRun::FaultKind> &SoakRun::faultKinds()
{
    static const std::vector<FaultKind> kinds {
        { "kill-node", &SoakRun::killNode },
        { "pause-node", &SoakRun::pauseNode },
        { "restart-node", &SoakRun::restartNode },
        { "store-down", &SoakRun::stopStore },
        { "store-slow", &SoakRun::slowStore },
        { "store-loses-answers", &SoakRun::loseStoreAnswers },
        { "worker-silent", &SoakRun::silenceWorker },
        { "worker-crash", &SoakRun::crashWorker },
    };
    return kinds;
}

void SoakRun::beginFault()
{
    const FaultKind &kind = faultKinds().at(this->random() % faultKinds().size());
    this->faultNames += std::string(this->faultNames.empty() ? "" : " ") + kind.name;
    std::uniform_int_distribution<int> lasts(leastFaultMs, greatestFaultMs);
    const Time end = std::chrono::steady_clock::now() + milliseconds(lasts(this->random));
    this->repairs.push_back({ end, (this->*kind.begin)() });
}

void SoakRun::repairDue(bool all)
{
    const Time now = std::chrono::steady_clock::now();
    for (auto repair = this->repairs.begin(); repair != this->repairs.end();) {
        if (all || repair->at <= now) {
            repair->act();
            repair = this->repairs.erase(repair);
        } else {
            ++repair;
        }
    }
}

SoakResult SoakRun::run()
{
    std::this_thread::sleep_for(startSpan);
    std::vector<std::string> addresses;
    for (const auto &node : this->nodes) {
        addresses.push_back(node->address());
    }
    SoakCallers callers(addresses, this->nodes.front()->callersPort(), this->judge,
                        this->settings.seed);
    std::uniform_int_distribution<int> gap(leastGapMs, greatestGapMs);
    const Time faultsEnd = std::chrono::steady_clock::now() + this->settings.faultSpan;
    Time nextFault = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() < faultsEnd) {
        if (std::chrono::steady_clock::now() >= nextFault) {
            this->beginFault();
            nextFault = std::chrono::steady_clock::now() + milliseconds(gap(this->random));
        }
        this->repairDue(false);
        std::this_thread::sleep_for(beat);
    }
    this->repairDue(true);
    callers.stopSubmitting();
    const Time giveUp = std::chrono::steady_clock::now() + longestFinish;
    while (!this->judge.unfinished().empty() && std::chrono::steady_clock::now() < giveUp) {
        callers.askUnfinished();
        std::this_thread::sleep_for(beat);
    }
    return { this->judge.broken(), this->judge.unfinished(), this->judge.acceptedCount(),
             this->judge.runCount(), this->faultNames };
}

} // namespace bulrush::soak
