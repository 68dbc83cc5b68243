#include "soak/NodeProcess.h"

#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace bulrush::soak {

namespace {

/** How long a graceful stop may take before the process is killed. */
constexpr std::chrono::seconds grace { 4 };
constexpr std::chrono::milliseconds look { 20 };

/** Returns a loopback address that no other run on this machine uses. */
std::string addressOf(int number)
{
    constexpr int parts = 250;
    const int process = getpid();
    return "127." + std::to_string(1 + process % parts) + "."
            + std::to_string(process / parts % parts) + "." + std::to_string(number);
}

} // namespace

NodeProcess::NodeProcess(std::string daemonPath, int number, int storePort,
                         const std::string &folder)
    : daemon(std::move(daemonPath))
    , ip(addressOf(number))
    , settingsPath(folder + "/node-" + std::to_string(number) + ".yaml")
    , logPath(folder + "/node-" + std::to_string(number) + ".log")
{
    this->writeSettings(storePort);
}

NodeProcess::~NodeProcess()
{
    this->kill();
}

void NodeProcess::writeSettings(int storePort) const
{
    std::ofstream file(this->settingsPath);
    file << "node: \"" << this->ip << "\"\nzone: \"z1\"\nip: \"" << this->ip << "\"\n"
         << "listenAddrs: { frontend: \"" << this->ip << ":" << callers << "\", readiness: \""
         << this->ip << ":8167\" }\n"
         << "internalPorts: [7720, 7735]\n"
         << "limits: { memoryMb: 260, cpuShare: 1.0, cores: 1 }\n"
         << "bounds: { graceS: " << grace.count() << ", holdMaxMs: 3000, stopTimeoutMs: 100 }\n"
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

bool NodeProcess::hasEnded(int options)
{
    if (this->process == 0 || waitpid(this->process, nullptr, options) != 0) {
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

void NodeProcess::askToStop()
{
    if (this->process > 0) {
        ::kill(this->process, SIGTERM);
    }
}

void NodeProcess::stopGracefully()
{
    this->askToStop();
    const auto until = std::chrono::steady_clock::now() + grace;
    while (!this->hasEnded(WNOHANG)) {
        if (std::chrono::steady_clock::now() > until) {
            this->kill();
            return;
        }
        std::this_thread::sleep_for(look);
    }
}

} // namespace bulrush::soak
