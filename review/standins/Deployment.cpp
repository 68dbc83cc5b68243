#include "Deployment.h"

#include <httplib.h>

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace review {

namespace {

constexpr int nodes = 3;
constexpr int frontendPort = 8161;
constexpr int readinessPort = 8167;
constexpr int internalPort = 7720;
constexpr int metricsPort = 9464;
constexpr std::int64_t memoryMb = 260;
constexpr int restartDelayMs = 500;
constexpr int tries = 5;
constexpr int retryDelayMs = 300;
constexpr int startTimeoutMs = 20'000;
constexpr int pollMs = 50;
constexpr const char *host = "review.example";
constexpr const char *daemonPath = "target/programs/bulrushrilld/bulrushrilld";
constexpr const char *standinFolder = "target/review/";

/** Returns a port that is free now, or whether a given one is. */
int freePort(const std::string &address, int port)
{
    const int sock = socket(AF_INET, SOCK_STREAM, 0);
    const int yes = 1;
    setsockopt(sock, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    sockaddr_in name {};
    name.sin_family = AF_INET;
    name.sin_port = htons(static_cast<std::uint16_t>(port));
    name.sin_addr.s_addr = inet_addr(address.c_str());
    socklen_t size = sizeof(name);
    const bool bound = bind(sock, reinterpret_cast<sockaddr *>(&name), size) == 0;
    getsockname(sock, reinterpret_cast<sockaddr *>(&name), &size);
    close(sock);
    return bound ? ntohs(name.sin_port) : 0;
}

/** Returns the third octet of loopback addresses on which the ports of all nodes are free. */
int freeOctet()
{
    constexpr int octets = 250;
    for (int attempt = 0; attempt < octets; ++attempt) {
        const int octet = 1 + (getpid() + attempt) % octets;
        bool free = true;
        for (int node = 1; node <= nodes; ++node) {
            const std::string address =
                    "127.77." + std::to_string(octet) + "." + std::to_string(node);
            for (const int port : { frontendPort, readinessPort, internalPort, metricsPort }) {
                free = free && freePort(address, port) != 0;
            }
        }
        if (free) {
            return octet;
        }
    }
    throw std::runtime_error("no free loopback addresses");
}

const char *const configuration = R"({"version":3,"limits":{},
"services":[{"name":"review","admissionCheck":true}],
"routes":[{"name":"q","host":"review.example","pathPrefix":"/q/","service":"review",
"maxAttempts":4,"priority":1,"slackFactor":3.0,"targetLatencyMs":1000,"timeoutMs":3000}]})";

} // namespace

std::string Answer::state() const
{
    const nlohmann::json parsed = nlohmann::json::parse(this->body, nullptr, false);
    const bool shown = this->status == 200 && parsed.is_object() && parsed.contains("state");
    return shown ? parsed.at("state").get<std::string>() : std::string();
}

Deployment::Deployment(const std::string &recordPath, const std::vector<WorkerSpec> &workerSpecs)
    : record(recordPath)
    , startedAt(nowMs())
{
    std::string pattern = std::filesystem::temp_directory_path() / "review-XXXXXX";
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    this->folder = pattern;
    this->eventsPath = this->folder + "/events.txt";
    this->storePort = freePort("127.0.0.1", 0);
    this->addressOctet = freeOctet();
    this->spawn({ std::string(standinFolder) + "store", std::to_string(this->storePort) },
                "store.log");
    httplib::Client store("127.0.0.1", this->storePort);
    bool published = false;
    for (int attempt = 0; attempt < 100 && !published; ++attempt) {
        const auto result =
                store.Post("/standin/put?topic=keyed.op&key=config", configuration, "text/plain");
        published = result && result->status == 200;
        sleepMs(pollMs);
    }
    if (!published) {
        throw std::runtime_error("the store does not answer");
    }
    for (const WorkerSpec &spec : workerSpecs) {
        this->workers[spec.name] = { spec, freePort("127.0.0.1", 0), 0 };
        this->startWorker(spec.name, spec.kind);
    }
    for (int node = 1; node <= nodes; ++node) {
        this->startNode(node);
    }
}

Deployment::~Deployment()
{
    for (const pid_t process : this->processes) {
        ::kill(process, SIGKILL);
    }
    for (const pid_t process : this->processes) {
        waitpid(process, nullptr, 0);
    }
    this->record << "--- what the executors did\n";
    for (const Event &event : this->events()) {
        this->record << event.line << "\n";
    }
    this->record.close();
    if (std::getenv("KEEP") != nullptr) {
        std::cout << "logs are kept in " << this->folder << "\n";
        return;
    }
    std::filesystem::remove_all(this->folder);
}

std::string Deployment::nodeAddress(int number) const
{
    return "127.77." + std::to_string(this->addressOctet) + "." + std::to_string(number);
}

pid_t Deployment::spawn(const std::vector<std::string> &arguments, const std::string &logName,
                        const std::string &settingsPath)
{
    const std::string logPath = this->folder + "/" + logName;
    std::vector<char *> words;
    for (const std::string &argument : arguments) {
        words.push_back(const_cast<char *>(argument.c_str()));
    }
    words.push_back(nullptr);
    const pid_t process = fork();
    if (process < 0) {
        throw std::runtime_error("fork failed");
    }
    if (process == 0) {
        // Ends with the driver, however that ends.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        if (!settingsPath.empty()) {
            setenv("BULRUSHRILL_BOOT", settingsPath.c_str(), 1);
        }
        execv(words[0], words.data());
        _exit(127);
    }
    this->processes.push_back(process);
    return process;
}

void Deployment::startNode(int number)
{
    const std::string ip = this->nodeAddress(number);
    const std::string name = "edge-" + std::to_string(number);
    const std::string path = this->folder + "/" + name + ".yaml";
    std::ofstream file(path);
    file << "node: \"" << name << "\"\nrole: \"entry\"\nmachineClass: \"edge\"\n"
         << "serves: [\"edge\"]\nip: \"" << ip << "\"\nzone: \"z1\"\nregion: \"r1\"\n"
         << "zones: { z1: \"r1\" }\n"
         << "listenAddrs: { frontend: \"" << ip << ":" << frontendPort << "\", readiness: \"" << ip
         << ":" << readinessPort << "\" }\n"
         << "internalPorts: [" << internalPort << ", 7735]\n"
         << "seeds: []\nbootstrap: true\n"
         << "limits: { cpuShare: 0.25, cores: 1, memoryMb: 260, maxFds: 4100, linkMbps: 1000.0 }\n"
         << "discovery: \"platform\"\nentry: \"vip\"\nheartbeatMs: 1500\n"
         << "bounds: { seedLagS: 3, addrReuseS: 2, contactMs: 3000, ackMs: 4000, drainMs: 2000,"
         << " graceS: 6, configApplyMs: 2000, recoveryS: 12, holdMaxMs: 6000, stopTimeoutMs: 400,"
         << " gangTimeoutMs: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14,"
         << " status_s: 120, remoteFactor: 3, checkpointS: 1, restoreMs: 600, fencingRequired: "
            "true,"
         << " leaseMs: 3000, pacingMs: 100, impactMs: 4000 }\n"
         << "commands: \"invocation\"\n"
         << "platform: { address: \"127.0.0.1:" << this->storePort
         << "\", form: \"log\", writesPerS: 800, readsPerS: 2000, parts: 24, recordBytes: 262144,"
         << " requestBytes: 2097152, keep_s: 300, ttlMinMs: 1000 }\n"
         << "cloudApi: { address: \"127.0.0.1:" << this->storePort << "\", ratePerS: 60.0 }\n";
    file.close();
    this->nodeProcesses[number] = this->spawn({ daemonPath, "--platform" }, name + ".log", path);
    this->note("node " + name + " starts at " + ip);
}

int Deployment::enforceMemoryLimit()
{
    constexpr std::int64_t bytesPerMb = 1 << 20;
    int killed = 0;
    for (const auto &[node, process] : this->nodeProcesses) {
        std::ifstream file("/proc/" + std::to_string(process) + "/statm");
        std::int64_t pages = 0;
        std::int64_t residentPages = 0;
        file >> pages >> residentPages;
        const std::int64_t megabytes = residentPages * getpagesize() / bytesPerMb;
        if (megabytes <= memoryMb || this->nodeRestarts.contains(node)) {
            continue;
        }
        this->note("node edge-" + std::to_string(node) + " has " + std::to_string(megabytes)
                   + " MB");
        this->killNode(node);
        this->nodeRestarts[node] = nowMs() + restartDelayMs;
        ++killed;
    }
    for (int node = 1; node <= nodes; ++node) {
        const auto restart = this->nodeRestarts.find(node);
        if (restart != this->nodeRestarts.end() && nowMs() >= restart->second) {
            this->nodeRestarts.erase(restart);
            this->startNode(node);
        }
    }
    return killed;
}

void Deployment::startWorker(const std::string &name, const std::string &kind)
{
    WorkerProcess &worker = this->workers.at(name);
    worker.process =
            this->spawn({ std::string(standinFolder) + "worker", name, std::to_string(worker.port),
                          kind, worker.spec.rack, std::to_string(worker.spec.cpu),
                          std::to_string(this->storePort), this->eventsPath },
                        name + ".log");
    this->note("executor " + name + " starts as kind " + kind);
}

void Deployment::stopProcess(pid_t process)
{
    ::kill(process, SIGKILL);
    waitpid(process, nullptr, 0);
    std::erase(this->processes, process);
}

void Deployment::killWorker(const std::string &name)
{
    this->stopProcess(this->workers.at(name).process);
    this->note("executor " + name + " is killed");
}

void Deployment::setStoreDown(bool down)
{
    httplib::Client store("127.0.0.1", this->storePort);
    store.Post(down ? "/standin/down?on=1" : "/standin/down?on=0");
    this->note(down ? "the store is down" : "the store is back");
}

void Deployment::setStoreSlow(int times)
{
    httplib::Client store("127.0.0.1", this->storePort);
    store.Post("/standin/slow?times=" + std::to_string(times));
    this->note("the store takes " + std::to_string(times) + " times as long");
}

int Deployment::ownerNode() const
{
    httplib::Client store("127.0.0.1", this->storePort);
    const auto result = store.Get("/standin/holder");
    for (int node = 1; result && node <= nodes; ++node) {
        if (result->body.starts_with(this->nodeAddress(node) + ":")) {
            return node;
        }
    }
    return 0;
}

void Deployment::killNode(int number)
{
    this->stopProcess(this->nodeProcesses.at(number));
    this->note("node edge-" + std::to_string(number) + " is killed");
}

Answer Deployment::call(const std::string &method, const std::string &path, const std::string &body)
{
    constexpr int callTimeoutS = 3;
    const std::string address = this->nodeAddress(1 + this->nextNode++ % nodes);
    httplib::Client client(address, frontendPort);
    client.set_read_timeout(callTimeoutS);
    const httplib::Headers headers { { "Host", host }, { "Deadline-Ms", "3000" } };
    const auto result = method == "POST" ? client.Post(path, headers, body, "application/json")
                                         : client.Get(path, headers);
    return result ? Answer { result->status, result->body } : Answer();
}

Answer Deployment::submit(const std::string &id, const std::string &body)
{
    Answer answer;
    for (int attempt = 0; attempt < tries && !answer.accepted(); ++attempt) {
        if (attempt > 0) {
            sleepMs(retryDelayMs);
        }
        answer = this->call("POST", "/q/" + id, body);
        std::ostringstream line;
        line << "POST " << id << " " << body << " -> " << answer.status;
        this->note(line.str());
    }
    return answer;
}

Answer Deployment::state(const std::string &id)
{
    Answer answer;
    for (int attempt = 0; attempt < nodes && answer.state().empty(); ++attempt) {
        answer = this->call("GET", "/q/" + id, {});
    }
    return answer;
}

std::string Deployment::waitForState(const std::string &id, const std::string &state, int timeoutMs)
{
    const std::int64_t until = nowMs() + timeoutMs;
    std::string noted;
    for (;;) {
        const Answer answer = this->state(id);
        std::ostringstream line;
        line << "GET " << id << " -> " << answer.status << " " << answer.body;
        if (line.str() != noted) {
            this->note(line.str());
            noted = line.str();
        }
        if (answer.state() == state || nowMs() >= until) {
            return answer.state();
        }
        sleepMs(2 * pollMs);
    }
}

bool Deployment::waitUntilServing()
{
    const std::string id = "00000000000000aa";
    const std::int64_t until = nowMs() + startTimeoutMs;
    while (nowMs() < until) {
        const Answer answer =
                this->submit(id,
                             R"({"spec":"cpu=100 ms=50","phases":[{"count":1,"cpu":100,)"
                             R"("memMb":16,"estimateMs":50}]})");
        if (answer.accepted()) {
            return this->waitForState(id, "completed", startTimeoutMs) == "completed";
        }
    }
    return false;
}

std::vector<Event> Deployment::events() const
{
    std::vector<Event> events;
    std::ifstream file(this->eventsPath);
    for (std::string line; std::getline(file, line);) {
        std::istringstream words(line);
        Event event;
        words >> event.atMs >> event.what >> event.worker >> event.born >> event.kind >> event.task
                >> event.attempt >> event.how;
        event.line = line;
        events.push_back(std::move(event));
    }
    std::stable_sort(events.begin(), events.end(),
                     [](const Event &a, const Event &b) { return a.atMs < b.atMs; });
    return events;
}

void Deployment::note(const std::string &text)
{
    const std::scoped_lock lock(this->recordMutex);
    this->record << nowMs() << " " << text << std::endl;
}

std::int64_t Deployment::nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::steady_clock::now().time_since_epoch())
            .count();
}

void Deployment::sleepMs(int millis)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(millis));
}

std::string submissionId(int number)
{
    constexpr std::size_t idDigits = 16;
    const std::string digits = std::to_string(number);
    return std::string(idDigits - digits.size(), '0') + digits;
}

bool withTrouble()
{
    const char *const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

int runCase(int argc, char **argv, int (*run)(const std::string &recordPath))
{
    constexpr int couldNotRun = 2;
    if (argc != 2) {
        return couldNotRun;
    }
    try {
        const int status = run(argv[1]);
        std::cout << (status == 0           ? "the rule held"
                              : status == 1 ? "the rule was broken"
                                            : "the case could not run")
                  << std::endl;
        return status;
    } catch (const std::exception &error) {
        std::cout << "the case could not run: " << error.what() << std::endl;
        return couldNotRun;
    }
}

} // namespace review
