#pragma once

#include <string>
#include <sys/types.h>

namespace bulrush::soak {

/** One daemon as a process of its own, on an address of its own. */
class NodeProcess
{
public:
    /** @param number tells its address and files
        @param folder where its settings and its log go */
    NodeProcess(std::string daemon, int number, int storePort, const std::string &folder);

    /** Ends the process, if it runs. */
    ~NodeProcess();

    NodeProcess(const NodeProcess &) = delete;
    NodeProcess &operator=(const NodeProcess &) = delete;

    void start();
    void kill();
    void pause();
    void resume();

    void askToStop();

    /** Asks the process to stop, and waits until it has or its grace is over. */
    void stopGracefully();

    const std::string &address() const { return this->ip; }
    int callersPort() const { return callers; }
    bool isRunning() const { return this->process > 0; }

private:
    static constexpr int callers = 8161;

    void writeSettings(int storePort) const;
    bool hasEnded(int options);

    const std::string daemon;
    const std::string ip;
    const std::string settingsPath;
    const std::string logPath;
    pid_t process = 0;
};

} // namespace bulrush::soak
