#pragma once

#include <cstdint>
#include <string>
#include <sys/types.h>
#include <sys/wait.h>

namespace bulrush::soak {

/** Runs one daemon as a separate process on its own loopback address. */
class NodeProcess
{
public:
    /** @param number determines the address and the file names
        @param folder for the settings file and the log file
        @param evacuationBoundMs written to the settings; 0 for none
        @param machineLimits the `limits` of the settings file */
    NodeProcess(std::string daemon, int number, int storePort, const std::string &folder,
                std::int64_t evacuationBoundMs = 0, std::string machineLimits = defaultLimits);

    /** Kills the process if it is running. */
    ~NodeProcess();

    NodeProcess(const NodeProcess &) = delete;
    NodeProcess &operator=(const NodeProcess &) = delete;

    void start();
    void kill();
    void pause();
    void resume();

    void requestStop();

    /** Sends SIGHUP, as after a change of the settings file. */
    void requestReload();

    /** Sends SIGTERM and waits for the exit; kills the process after the grace period. */
    void stopGracefully();

    const std::string &address() const { return this->ip; }
    int callersPort() const { return callersPortNumber; }
    bool isRunning() const { return this->process > 0; }

    /** Returns the id of the process, 0 when it does not run. */
    pid_t processId() const { return this->process; }

    /** Returns whether the process runs, and notes its end if it has ended by itself. */
    bool checkRunning() { return this->process > 0 && !this->hasEnded(WNOHANG); }

private:
    static constexpr int callersPortNumber = 8161;
    static constexpr const char *defaultLimits = "{ memoryMb: 260, cpuShare: 1.0, cores: 1 }";

    void writeSettings(int storePort, std::int64_t evacuationBoundMs) const;
    bool hasEnded(int waitOptions);

    const std::string daemon;
    const std::string ip;
    const std::string settingsPath;
    const std::string logPath;
    const std::string limits;
    pid_t process = 0;
};

} // namespace bulrush::soak
