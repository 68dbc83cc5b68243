#include "soak/NodeProcess.h"

#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <stdexcept>
#include <thread>
#include <unistd.h>
#include <utility>

namespace bulrush::soak {

namespace {

/** How long a graceful stop may take before the process is killed. */
constexpr std::chrono::seconds gracePeriod { 4 };
constexpr std::chrono::milliseconds pollInterval { 20 };

/** Returns a loopback address that depends on the process id, so that concurrent runs differ. */
std::string loopbackAddress(int number)
{
    constexpr int octetValues = 250;
    const int process = getpid();
    return "127." + std::to_string(1 + process % octetValues) + "."
            + std::to_string(process / octetValues % octetValues) + "." + std::to_string(number);
}

} // namespace

NodeProcess::NodeProcess(std::string daemonPath, int number, int storePort,
                         const std::string &folder, std::int64_t evacuationBoundMs,
                         std::string machineLimits)
    : daemon(std::move(daemonPath))
    , ip(loopbackAddress(number))
    , settingsPath(folder + "/node-" + std::to_string(number) + ".yaml")
    , logPath(folder + "/node-" + std::to_string(number) + ".log")
    , limits(std::move(machineLimits))
{
    this->writeSettings(storePort, evacuationBoundMs);
}

NodeProcess::~NodeProcess()
{
    this->kill();
}

void NodeProcess::writeSettings(int storePort, std::int64_t evacuationBoundMs) const
{
    std::ofstream file(this->settingsPath);
    file << "node: \"" << this->ip << "\"\nzone: \"z1\"\nip: \"" << this->ip << "\"\n"
         << "listenAddrs: { frontend: \"" << this->ip << ":" << callersPortNumber
         << "\", readiness: \"" << this->ip << ":8167\" }\n"
         << "internalPorts: [7720, 7735]\n"
         << "limits: " << this->limits << "\n"
         << "bounds: { graceS: " << gracePeriod.count() << ", holdMaxMs: 3000, stopTimeoutMs: 100"
         << (evacuationBoundMs > 0 ? ", evacuateMs: " + std::to_string(evacuationBoundMs)
                                   : std::string())
         << " }\nzones: {z1: r, z2: r, z3: r}\n"
         << "platform: { address: \"127.0.0.1:" << storePort << "\", ttlMinMs: 500 }\n";
}

void NodeProcess::start()
{
    const pid_t child = fork();
    if (child < 0) {
        throw std::runtime_error("fork failed");
    }
    if (child == 0) {
        const int log = open(this->logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        execl(this->daemon.c_str(), this->daemon.c_str(), "--platform", "--settings",
              this->settingsPath.c_str(), nullptr);
        _exit(127);
    }
    this->process = child;
}

bool NodeProcess::hasEnded(int waitOptions)
{
    if (this->process == 0 || waitpid(this->process, nullptr, waitOptions) != 0) {
        this->process = 0;
        return true;
    }
    return false;
}

void NodeProcess::kill()
{
    if (this->process > 0) {
        ::kill(this->process, SIGKILL);
        this->hasEnded(0);
    }
}

void NodeProcess::pause()
{
    if (this->process > 0) {
        ::kill(this->process, SIGSTOP);
    }
}

void NodeProcess::resume()
{
    if (this->process > 0) {
        ::kill(this->process, SIGCONT);
    }
}

void NodeProcess::requestStop()
{
    if (this->process > 0) {
        ::kill(this->process, SIGTERM);
    }
}

void NodeProcess::requestReload()
{
    if (this->process > 0) {
        ::kill(this->process, SIGHUP);
    }
}

void NodeProcess::stopGracefully()
{
    this->requestStop();
    const auto deadline = std::chrono::steady_clock::now() + gracePeriod;
    while (!this->hasEnded(WNOHANG)) {
        if (std::chrono::steady_clock::now() > deadline) {
            this->kill();
            return;
        }
        std::this_thread::sleep_for(pollInterval);
    }
}

} // namespace bulrush::soak
