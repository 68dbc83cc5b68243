#include "soak/CallerCrowdRun.h"

#include <httplib.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <thread>

namespace bulrush::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** The limits of the daemon's settings file, which are the bounds of the checks too. */
constexpr std::size_t memoryMb = 64;
constexpr std::size_t maxDescriptors = 600;

constexpr seconds longestPlay { 30 };
constexpr seconds longestWait { 60 };
constexpr seconds callTimeout { 3 };
constexpr milliseconds pollInterval { 20 };
constexpr int lowestSuccess = 200;
constexpr int highestSuccess = 299;

constexpr const char *configuration =
        R"({"version":1,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,)"
        R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
        R"("services":[{"name":"review","admissionCheck":true}],)"
        R"("routes":[{"name":"q","host":"soak.example","pathPrefix":"/q/","service":"review",)"
        R"("maxAttempts":3,"timeoutMs":3000}]})";
constexpr const char *ordinaryBody =
        R"({"spec":"x","phases":[{"count":1,"cpu":100,"memMb":50,"estimateMs":50}]})";

std::string limitsText()
{
    return "{ memoryMb: " + std::to_string(memoryMb) + ", maxFds: " + std::to_string(maxDescriptors)
            + ", cpuShare: 1.0, cores: 1 }";
}

std::string headOf(const std::string &lastHeaders)
{
    return "POST /q/00000000000000aa HTTP/1.1\r\nHost: soak.example\r\ndeadline-ms: 3000\r\n"
           "Content-Type: application/json\r\n"
            + lastHeaders;
}

std::string announcedHead(std::size_t bytes)
{
    return headOf("Content-Length: " + std::to_string(bytes) + "\r\n\r\n");
}

/** Returns a job of nearly the largest permitted size. */
std::string largeJob()
{
    constexpr std::size_t payloadBytes = 250'000;
    return R"({"phases":[{"count":1,"cpu":10,"memMb":1,"estimateMs":50}],"spec":")"
            + std::string(payloadBytes, 'x') + "\"}";
}

/** Returns a JSON object of nearly the largest permitted size with as many values as fit. */
std::string denseJson()
{
    constexpr std::size_t values = 85'000;
    std::string text = R"({"phases":[{})";
    for (std::size_t value = 0; value < values; ++value) {
        text += ",{}";
    }
    return text + "]}";
}

/** Returns a JSON object of nearly the largest permitted size that is nested as deeply as fits. */
std::string nestedJson()
{
    constexpr std::size_t depth = 130'000;
    return R"({"phases":)" + std::string(depth, '[') + std::string(depth, ']') + "}";
}

/** Returns one field's value in KB from /proc/PID/status, 0 when the process has ended. */
std::size_t statusField(pid_t process, const std::string &field)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    std::string name;
    while (status >> name) {
        std::size_t value = 0;
        if (name == field && status >> value) {
            return value;
        }
        std::getline(status, name);
    }
    return 0;
}

std::size_t openDescriptors(pid_t process)
{
    std::error_code error;
    std::filesystem::directory_iterator entry("/proc/" + std::to_string(process) + "/fd", error);
    std::size_t count = 0;
    while (!error && entry != std::filesystem::directory_iterator()) {
        ++count;
        entry.increment(error);
    }
    return count;
}

/** The clients of most crowds, and of those that are only about connections. */
constexpr std::size_t bodyClients = 400;
constexpr std::size_t connectionClients = 800;

constexpr std::size_t farBeyondBytes = 8U << 20U;
/** Above the limit of the configuration, below the one that the server has without it. */
constexpr std::size_t beyondBytes = 1'000'000;

} // namespace

std::vector<CrowdCase> crowdCases()
{
    const std::string job = largeJob();
    const std::string dense = denseJson();
    const std::string nested = nestedJson();
    const std::string chunk = "4000\r\n" + std::string(0x4000, 'x') + "\r\n";
    const std::string filler(65'536, 'x');
    const std::string garbage = "{\"spec\":\"xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\"}\r\n";
    constexpr std::size_t piece = 16'384;
    constexpr std::size_t leftOut = 100;
    return {
        { "announced", bodyClients, { announcedHead(beyondBytes), filler, beyondBytes - leftOut } },
        { "far_announced", bodyClients, { announcedHead(farBeyondBytes), filler, farBeyondBytes } },
        { "chunked",
          bodyClients,
          { headOf("Transfer-Encoding: chunked\r\n\r\n"), chunk, farBeyondBytes } },
        { "unannounced", bodyClients, { headOf("\r\n"), filler, farBeyondBytes } },
        { "false_length", bodyClients, { announcedHead(10), garbage, farBeyondBytes } },
        { "whole", bodyClients, { announcedHead(job.size()), job, job.size() }, 600 },
        { "pieces", bodyClients, { announcedHead(job.size()), job, job.size() - leftOut, piece } },
        { "dense", bodyClients, { announcedHead(dense.size()), dense, dense.size() } },
        { "nested", bodyClients, { announcedHead(nested.size()), nested, nested.size() } },
        { "headers", connectionClients, { headOf("X-Filler: " + std::string(3000, 'x')) } },
        { "connections", connectionClients, { "GET /q/ HTTP/1.1\r\nHost: soak.example\r\n\r\n" } },
    };
}

CallerCrowdRun::CallerCrowdRun(const std::string &daemonPath, const std::string &runFolder)
    : store(1)
    , worker("w1", this->checker, 1U)
    , folder(runFolder)
    , daemon(daemonPath)
{
}

void CallerCrowdRun::measure()
{
    this->peakMemoryKb = std::max(this->peakMemoryKb, statusField(this->process, "VmHWM:"));
    this->residentKb = std::max(this->residentKb, statusField(this->process, "VmRSS:"));
    this->mostDescriptors = std::max(this->mostDescriptors, openDescriptors(this->process));
}

bool CallerCrowdRun::jobIsAccepted()
{
    const auto deadline = std::chrono::steady_clock::now() + longestWait;
    while (std::chrono::steady_clock::now() < deadline) {
        std::array<char, 17> job {};
        std::snprintf(job.data(), job.size(), "%016zx", ++this->attempts + 0x1000);
        this->checker.recordJobSubmitted(job.data(), { { 1, {} } });
        httplib::Client client(this->nodeAddress, this->nodePort);
        client.set_connection_timeout(callTimeout);
        client.set_read_timeout(callTimeout);
        const httplib::Headers headers { { "Host", "soak.example" }, { "deadline-ms", "3000" } };
        const auto answer = client.Post("/q/" + std::string(job.data()), headers, ordinaryBody,
                                        "application/json");
        if (answer && answer->status >= lowestSuccess && answer->status <= highestSuccess) {
            return true;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return false;
}

void CallerCrowdRun::check(bool holds, const std::string &failure)
{
    if (!holds) {
        this->failures.push_back(failure);
    }
}

std::vector<std::string> CallerCrowdRun::run(const CrowdCase &crowd)
{
    const int storePort = this->store.start();
    this->store.put("keyed.op", "config", configuration);
    this->store.put("keyed.servers", this->worker.workerName(), this->worker.listEntry());
    NodeProcess node(this->daemon, 1, storePort, this->folder, 0, limitsText());
    node.start();
    this->process = node.processId();
    this->nodeAddress = node.address();
    this->nodePort = node.callersPort();
    this->check(this->jobIsAccepted(), "an ordinary job was not accepted before the crowd came");

    this->store.faults.delayMs = crowd.storeDelayMs;
    std::atomic<bool> ended = false;
    std::thread watch([this, &ended] {
        while (!ended) {
            this->measure();
            std::this_thread::sleep_for(pollInterval);
        }
    });
    CallerCrowd callers(node.address(), node.callersPort(), crowd.clients, crowd.upload);
    callers.play(longestPlay);
    this->store.faults.delayMs = 0;
    const bool accepted = this->jobIsAccepted();
    ended = true;
    watch.join();
    this->measure();
    this->closedConnections = callers.closedCount();

    this->check(node.checkRunning(), "the process ended");
    this->check(accepted, "an ordinary job was not accepted while the crowd was connected");
    constexpr std::size_t kbPerMb = 1024;
    this->check(std::max(this->peakMemoryKb, this->residentKb) <= memoryMb * kbPerMb,
                "the process took more than " + std::to_string(memoryMb) + " MB of memory");
    this->check(this->mostDescriptors <= maxDescriptors,
                "the process had more than " + std::to_string(maxDescriptors)
                        + " open descriptors");
    return this->failures;
}

std::string CallerCrowdRun::figures() const
{
    return "VmHWM " + std::to_string(this->peakMemoryKb) + " KB, VmRSS at most "
            + std::to_string(this->residentKb) + " KB, descriptors at most "
            + std::to_string(this->mostDescriptors) + ", connections closed by the server "
            + std::to_string(this->closedConnections) + ", submissions "
            + std::to_string(this->attempts);
}

} // namespace bulrush::soak
