#include "Deployment.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

using Json = nlohmann::json;

constexpr int callersPort = 8161;
constexpr int readinessPort = 8167;
constexpr const char *host = "review.example";
constexpr const char *prefix = "/q/";
constexpr Milliseconds heartbeat { 1100 };
/** After so many missed heartbeats the entry of an executor is removed. */
constexpr int silentHeartbeats = 3;
constexpr Milliseconds pollInterval { 50 };
constexpr Milliseconds gracePeriod { 6000 };
constexpr Milliseconds readyLimit { 15'000 };
constexpr Milliseconds clientPatience { 3000 };
constexpr int statusOk = 200;

/** Returns a loopback address that depends on the process id, so that concurrent cases differ. */
std::string loopbackAddress(int number)
{
    constexpr int octetValues = 250;
    const int process = getpid();
    return "127." + std::to_string(1 + process % octetValues) + "."
            + std::to_string(process / octetValues % octetValues) + "." + std::to_string(number);
}

std::string configuration()
{
    return Json {
        { "version", 3 },
        { "limits", Json::object() },
        { "services", { { { "name", "review" }, { "admissionCheck", true } } } },
        { "routes",
          { { { "name", "q" },
              { "host", host },
              { "pathPrefix", prefix },
              { "service", "review" },
              { "priority", 0 },
              { "maxAttempts", 4 },
              { "slackFactor", 2.0 },
              { "targetLatencyMs", 250 },
              { "timeoutMs", 3000 } } } }
    }.dump();
}

} // namespace

void sleepUntil(const Record &record, std::int64_t time)
{
    const std::int64_t left = time - record.now();
    if (left > 0) {
        std::this_thread::sleep_for(Milliseconds(left));
    }
}

Node::Node(int number, const std::string &folder, int storePort, int machinesPort)
    : ip(loopbackAddress(number))
    , settingsPath(folder + "/node-" + std::to_string(number) + ".yaml")
    , logPath(folder + "/node-" + std::to_string(number) + ".log")
{
    this->writeSettings(storePort, machinesPort);
}

Node::~Node()
{
    this->kill();
}

void Node::writeSettings(int storePort, int machinesPort) const
{
    std::ofstream file(this->settingsPath);
    file << "node: \"" << this->ip << "\"\nrole: entry\nmachineClass: edge\nserves: [edge]\n"
         << "ip: \"" << this->ip << "\"\nzone: z1\nregion: g1\nzones: { z1: g1 }\n"
         << "listenAddrs: { frontend: \"" << this->ip << ":" << callersPort << "\", readiness: \""
         << this->ip << ":" << readinessPort << "\", control: \"" << this->ip << ":8166\" }\n"
         << "internalPorts: [7720, 7735]\nseeds: []\nbootstrap: true\n"
         << "limits: { cpuShare: 0.25, cores: 1, memoryMb: 260, maxFds: 4100, linkMbps: 1000.0 }\n"
         << "heartbeatMs: " << heartbeat.count() << "\ncommands: invocation\n"
         << "bounds: { contactMs: 3000, ackMs: 4000, drainMs: 2000, graceS: 6, lossSlackMs: 200, "
            "configApplyMs: 2000, holdMaxMs: 6000, stopTimeoutMs: 200, gangTimeoutMs: 3000, "
            "cancel_ms: 3000, visible_ms: 3000, early_ms: 250, remoteFactor: 3, checkpointS: 1, "
            "restoreMs: 250, pacingMs: 100, impactMs: 4000 }\n"
         << "platform: { address: \"127.0.0.1:" << storePort
         << "\", form: log, writesPerS: 800, readsPerS: 2000, parts: 24, recordBytes: 262144, "
            "requestBytes: 2097152, keep_s: 300, ttlMinMs: 1000 }\n"
         << "cloudApi: { address: \"127.0.0.1:" << machinesPort
         << "\", ratePerS: 60.0, duties: [], dutyPerS: 60.0 }\n";
}

void Node::start()
{
    const pid_t child = fork();
    if (child < 0) {
        throw std::runtime_error("fork failed");
    }
    if (child == 0) {
        const int log = open(this->logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        setenv("BULRUSHRILL_BOOT", this->settingsPath.c_str(), 1);
        execl("target/programs/bulrushrilld/bulrushrilld", "bulrushrilld", "--platform", nullptr);
        _exit(127);
    }
    this->process = child;
}

void Node::kill()
{
    if (this->process > 0) {
        ::kill(this->process, SIGKILL);
        waitpid(this->process, nullptr, 0);
        this->process = 0;
    }
}

void Node::stop()
{
    if (this->process == 0) {
        return;
    }
    ::kill(this->process, SIGTERM);
    const auto end = std::chrono::steady_clock::now() + gracePeriod;
    while (std::chrono::steady_clock::now() < end) {
        if (waitpid(this->process, nullptr, WNOHANG) == this->process) {
            this->process = 0;
            return;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    this->kill();
}

bool Node::isReady() const
{
    httplib::Client client(this->ip, readinessPort);
    client.set_connection_timeout(clientPatience);
    client.set_read_timeout(clientPatience);
    const httplib::Result result = client.Get("/api/readyz");
    return result && result->status == statusOk;
}

ClientAnswer Node::request(const std::string &method, const std::string &path,
                           const std::string &body, Milliseconds patience) const
{
    httplib::Client client(this->ip, callersPort);
    client.set_connection_timeout(patience);
    client.set_read_timeout(patience);
    httplib::Request request;
    request.method = method;
    request.path = path;
    request.set_header("Host", host);
    request.set_header("Content-Type", "application/json");
    request.set_header("Deadline-Ms", std::to_string(clientPatience.count()));
    request.body = body;
    const httplib::Result result = client.send(request);
    return result ? ClientAnswer { result->status, result->body } : ClientAnswer();
}

Deployment::Deployment(Record &caseRecord, const ExecutorRules &rules, const std::string &folder,
                       int executorCount, int nodeCount)
    : store(caseRecord)
    , record(caseRecord)
{
    const int storePort = this->store.start();
    this->machines.Get("/api/machines",
                       [this](const httplib::Request &request, httplib::Response &answer) {
                           this->listMachines(request, answer);
                       });
    const int machinesPort = this->machines.start(0);
    this->store.put("keyed.op", "config", configuration());
    for (int number = 1; number <= executorCount; ++number) {
        this->executors.push_back(std::make_unique<Executor>("i-000000000" + std::to_string(number),
                                                             caseRecord, this->book, rules));
        this->executors.back()->start();
        this->store.put("keyed.servers", this->executors.back()->name(),
                        this->executors.back()->entry());
    }
    this->checkIns = std::thread([this] { this->checkIn(); });
    for (int number = 1; number <= nodeCount; ++number) {
        this->nodes.push_back(std::make_unique<Node>(number, folder, storePort, machinesPort));
        this->nodes.back()->start();
    }
}

Deployment::~Deployment()
{
    this->nodes.clear();
    this->closing = true;
    this->checkIns.join();
    this->machines.close();
}

void Deployment::checkIn()
{
    std::int64_t next = this->record.now() + heartbeat.count();
    while (!this->closing) {
        std::this_thread::sleep_for(pollInterval);
        if (this->record.now() < next) {
            continue;
        }
        next += heartbeat.count();
        for (const auto &executor : this->executors) {
            const std::int64_t silence = executor->downFor();
            if (silence == 0) {
                this->store.checkIn(executor->name(), executor->entry());
            } else if (silence >= silentHeartbeats * heartbeat.count()) {
                this->store.checkIn(executor->name(), {});
            }
        }
    }
}

void Deployment::listMachines(const httplib::Request & /*request*/, httplib::Response &answer)
{
    Json rows = Json::array();
    for (const auto &executor : this->executors) {
        const bool up = executor->isUp();
        Json row = { { "machine", "m-" + executor->name() },
                     { "pool", "review" },
                     { "state", up ? "up" : "down" },
                     { "zone", "z1" } };
        if (up) {
            row["id"] = executor->name();
        }
        rows.push_back(row);
    }
    bulrush::standins::answerJson(answer, { { "machines", rows } });
}

bool Deployment::awaitReady()
{
    const std::int64_t limit = this->record.now() + readyLimit.count();
    while (this->record.now() < limit) {
        bool ready = !this->store.holder().empty()
                && !this->store.newestValue("keyed.progress", "roster").empty();
        for (const auto &node : this->nodes) {
            ready = ready && node->isReady();
        }
        if (ready) {
            // All members have joined, and the owner has heard each executor.
            std::this_thread::sleep_for(Milliseconds(4000));
            this->record.write("ready; the owner is " + this->store.holder());
            return true;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    this->record.write("not ready in time");
    return false;
}

Node &Deployment::owner()
{
    const std::string holder = this->store.holder();
    for (const auto &node : this->nodes) {
        if (holder.starts_with(node->address() + ":")) {
            return *node;
        }
    }
    return *this->nodes.front();
}

Node &Deployment::otherNode(std::size_t number)
{
    const Node *holder = &this->owner();
    for (const auto &node : this->nodes) {
        if (node.get() != holder && number-- == 0) {
            return *node;
        }
    }
    return *this->nodes.front();
}

ClientAnswer Deployment::send(Node &node, const std::string &method, const std::string &id,
                              const std::string &body, Milliseconds patience)
{
    const std::int64_t sentAt = this->record.now();
    ClientAnswer answer = node.request(method, prefix + id, body, patience);
    this->record.write("client: " + method + " " + id + " to " + node.address() + ", sent at "
                       + std::to_string(sentAt) + " ms: "
                       + (answer.status == 0 ? "left without an answer"
                                             : std::to_string(answer.status) + " " + answer.body));
    return answer;
}

bool Deployment::submit(const std::string &id, const std::string &phases)
{
    constexpr int tries = 4;
    const std::string body = R"({"spec":"review )" + id + R"(","phases":)" + phases + "}";
    for (int attempt = 0; attempt < tries; ++attempt) {
        Node &node = *this->nodes.at(static_cast<std::size_t>(attempt) % this->nodes.size());
        if (this->send(node, "POST", id, body, clientPatience).status == statusOk) {
            return true;
        }
    }
    return false;
}

std::string Deployment::stateOf(const std::string &id)
{
    for (const auto &node : this->nodes) {
        const ClientAnswer answer = node->request("GET", prefix + id, {}, clientPatience);
        if (answer.status == statusOk) {
            return Json::parse(answer.body).value("state", std::string());
        }
    }
    return {};
}

bool Deployment::awaitState(const std::string &id, const std::string &state, Milliseconds limit)
{
    const std::int64_t end = this->record.now() + limit.count();
    std::string shown = this->stateOf(id);
    while (shown != state && this->record.now() < end) {
        std::this_thread::sleep_for(pollInterval);
        shown = this->stateOf(id);
    }
    std::string line = "client: ";
    line.append(id).append(" is shown as ").append(shown);
    this->record.write(line);
    return shown == state;
}

bool Deployment::awaitRun(const std::string &task, Milliseconds limit)
{
    const std::int64_t end = this->record.now() + limit.count();
    while (this->record.now() < end) {
        for (const RunOfTask &run : this->book.runsOf(task)) {
            if (!run.endedAt) {
                return true;
            }
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return false;
}

} // namespace review
