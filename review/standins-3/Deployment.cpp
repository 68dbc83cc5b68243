#include "review/standins-3/Deployment.h"

#include "review/standins-3/Bounds.h"

#include <sys/wait.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace bulrush::review {

namespace {

using nlohmann::json;

constexpr int frontendPort = 8161;
constexpr int readinessPort = 8167;
constexpr int internalPort = 7720;
constexpr int nodeCount = 3;
constexpr std::chrono::milliseconds pause { 100 };
constexpr std::chrono::milliseconds answerTimeout { 3000 };
constexpr int statusOk = 200;
constexpr int statusMultiple = 300;

std::string zoneName(int number)
{
    return std::string("ke-central-") + static_cast<char>('a' + number % nodeCount);
}

bool isFree(const std::string &ip, int port)
{
    const int sock = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    const bool bound = bind(sock, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0;
    close(sock);
    return bound;
}

/** Returns a loopback address of its own for a node, at which the ports are free. */
std::string nodeAddress(int number)
{
    constexpr int octetValues = 200;
    for (int attempt = 0; attempt < octetValues; ++attempt) {
        const int seed = getpid() + attempt;
        std::string ip = "127." + std::to_string(20 + seed % octetValues) + "."
                + std::to_string(20 + seed / octetValues % octetValues) + "."
                + std::to_string(10 + number);
        if (isFree(ip, frontendPort) && isFree(ip, readinessPort) && isFree(ip, internalPort)
            && isFree(ip, internalPort + 1)) {
            return ip;
        }
    }
    throw std::runtime_error("no loopback address with free ports");
}

json config()
{
    const json service = { { "name", serviceName }, { "admissionCheck", true } };
    const json route = { { "name", "intake" },        { "host", hostName },
                         { "pathPrefix", queuePath }, { "service", serviceName },
                         { "maxAttempts", 3 },        { "slackFactor", 3 },
                         { "timeoutMs", 3000 } };
    return { { "version", 1 },
             { "limits", json::object() },
             { "services", { service } },
             { "routes", { route } } };
}

httplib::Client client(const std::string &ip)
{
    httplib::Client made(ip, frontendPort);
    made.set_connection_timeout(answerTimeout);
    made.set_read_timeout(answerTimeout);
    made.set_default_headers({ { "Host", hostName }, { "Deadline-Ms", "3000" } });
    return made;
}

} // namespace

CaseSettings caseSettings(int argc, char **argv)
{
    if (argc != 4) {
        throw std::invalid_argument("usage: CASE DAEMON FOLDER RECORD");
    }
    const char *trouble = std::getenv("TROUBLE");
    return { argv[1], argv[2], argv[3], trouble == nullptr || std::string(trouble) != "0" };
}

Deployment::Deployment(const CaseSettings &deploymentSettings, Record &caseRecord)
    : store(1)
    , settings(deploymentSettings)
    , record(caseRecord)
{
    this->storePort = this->store.start();
    this->store.put("keyed.op", "config", config().dump());
    this->machineList.Get("/api/machines",
                          [this](const httplib::Request &, httplib::Response &answer) {
                              this->listMachines(answer);
                          });
    this->machineListPort = this->machineList.start(0);
    for (int number = 0; number < nodeCount; ++number) {
        const std::string ip = nodeAddress(number);
        this->nodes.push_back({ ip, this->settings.folder + "/node-" + ip + ".yaml" });
        this->writeSettings(this->nodes.back(), zoneName(number));
    }
}

Deployment::~Deployment()
{
    this->machineList.close();
    for (Node &node : this->nodes) {
        if (node.process > 0 && !node.ended) {
            kill(node.process, SIGKILL);
            waitpid(node.process, nullptr, 0);
        }
    }
}

FleetWorker &Deployment::addWorker(const std::string &kind, const FleetWorker::BegunHandler &begun)
{
    const int number = static_cast<int>(this->workers.size());
    this->workers.push_back(std::make_unique<FleetWorker>("ex-" + std::to_string(number), kind,
                                                          zoneName(number), this->store,
                                                          this->record, begun));
    return *this->workers.back();
}

void Deployment::listMachines(httplib::Response &answer)
{
    json rows = json::array();
    for (const auto &worker : this->workers) {
        rows.push_back(worker->machineRow());
    }
    standins::answerJson(answer, { { "machines", rows }, { "nextToken", nullptr } });
}

void Deployment::writeSettings(const Node &node, const std::string &zone) const
{
    std::ofstream file(node.settingsPath);
    file << "node: \"" << node.ip << "\"\nrole: \"entry\"\nmachineClass: \"edge\"\n"
         << "serves: [\"edge\"]\nip: \"" << node.ip << "\"\nzone: \"" << zone << "\"\n"
         << "region: \"ke-central\"\nzones: { ke-central-a: \"ke-central\", "
         << "ke-central-b: \"ke-central\", ke-central-c: \"ke-central\" }\n"
         << "listenAddrs: { frontend: \"" << node.ip << ":" << frontendPort << "\", readiness: \""
         << node.ip << ":" << readinessPort << "\" }\n"
         << "internalPorts: [" << internalPort << ", 7735]\nseeds: []\nbootstrap: true\n"
         << "limits: { cpuShare: 0.25, cores: 1, memoryMb: 260, maxFds: 4100, linkMbps: 1000.0, "
         << "diskMb: 0 }\n"
         << "discovery: \"platform\"\nentry: \"vip\"\nheartbeatMs: " << heartbeatMs << "\n"
         << "contracts: [\"base\", \"drain\", \"config\", \"cost\", \"recover\", \"sched\", "
         << "\"platform\"]\n"
         << "bounds: { contactMs: 3000, ackMs: 4000, drainMs: 2000, graceS: 6, lossSlackMs: 200, "
         << "configApplyMs: 2000, holdMaxMs: " << holdMaxMs << ", stopTimeoutMs: " << stopTimeoutMs
         << ", gangTimeoutMs: 3000, cancel_ms: " << cancelMs << ", visible_ms: " << visibleMs
         << ", early_ms: 250, finish_s: 14, status_s: 120, remoteFactor: 3, checkpointS: 1, "
         << "restoreMs: 600, noticeMs: 4500 }\n"
         << "commands: \"invocation\"\n"
         << "platform: { address: \"127.0.0.1:" << this->storePort
         << "\", form: \"log\", writesPerS: 800, readsPerS: 2000, parts: 24, appendMs: 1.0, "
         << "partMbPerS: 20.0, readMbPerS: 80.0, recordBytes: 262144, requestBytes: 2097152, "
         << "keep_s: 300, partitionMb: 200, ttlMinMs: 1000 }\n"
         << "cloudApi: { address: \"127.0.0.1:" << this->machineListPort
         << "\", ratePerS: 60.0, duties: [], dutyPerS: 60.0 }\n";
}

void Deployment::startNode(Node &node) const
{
    const std::string logPath = this->settings.folder + "/node-" + node.ip + ".log";
    const std::string boot = "BULRUSHRILL_BOOT=" + node.settingsPath;
    const pid_t parent = getpid();
    const pid_t child = fork();
    if (child < 0) {
        throw std::runtime_error("fork failed");
    }
    if (child == 0) {
        // The node ends with this process, however that one ends.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) {
            _exit(127);
        }
        const int log = open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        const char *const variables[] = { boot.c_str(), "LANG=C.UTF-8", "PATH=/usr/bin:/bin",
                                          nullptr };
        execle(this->settings.daemon.c_str(), this->settings.daemon.c_str(), "--platform", nullptr,
               variables);
        _exit(127);
    }
    node.process = child;
}

bool Deployment::startNodes()
{
    for (Node &node : this->nodes) {
        this->startNode(node);
    }
    constexpr int maxChecks = 200;
    for (int check = 0; check < maxChecks; ++check) {
        int ready = 0;
        for (const Node &node : this->nodes) {
            httplib::Client probe(node.ip, readinessPort);
            const auto answer = probe.Get("/api/readyz");
            ready += answer && answer->status == statusOk ? 1 : 0;
        }
        if (ready == nodeCount) {
            this->record.line("all nodes are ready");
            return true;
        }
        std::this_thread::sleep_for(pause);
    }
    return false;
}

bool Deployment::submit(const std::string &submission, const json &body)
{
    constexpr int maxAttempts = 20;
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        const Node &node = this->nodes.at(static_cast<std::size_t>(attempt % nodeCount));
        const auto answer =
                client(node.ip).Post(queuePath + submission, body.dump(), "application/json");
        this->record.line("POST " + submission + " " + body.dump() + " -> "
                          + (answer ? std::to_string(answer->status) : "no answer"));
        if (answer && answer->status >= statusOk && answer->status < statusMultiple) {
            return true;
        }
        std::this_thread::sleep_for(pause);
    }
    return false;
}

std::string Deployment::stateOf(const std::string &submission, std::size_t node)
{
    const auto answer = client(this->nodes.at(node % nodeCount).ip).Get(queuePath + submission);
    this->record.line(
            "GET " + submission + " -> "
            + (answer ? std::to_string(answer->status) + " " + answer->body : "no answer"));
    if (!answer || answer->status != statusOk) {
        return {};
    }
    const json state = json::parse(answer->body, nullptr, false);
    return state.is_object() ? state.value("state", "") : "";
}

int Deployment::tasksAtWork(const std::string &submission)
{
    int count = 0;
    for (const auto &worker : this->workers) {
        count += worker->tasksAtWork(submission);
    }
    return count;
}

bool Deployment::anyNodeEnded()
{
    bool any = false;
    for (Node &node : this->nodes) {
        if (!node.ended && waitpid(node.process, nullptr, WNOHANG) == node.process) {
            node.ended = true;
        }
        any = any || node.ended;
    }
    return any;
}

} // namespace bulrush::review
