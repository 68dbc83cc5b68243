#pragma once

#include "soak/InvariantChecker.h"

#include <httplib.h>

#include <atomic>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace bulrush::soak {

/** Submits jobs at random nodes, retries those that were not accepted, and queries job states. */
class SoakCallers
{
public:
    /** @param leavesEarly whether some callers leave before they are answered, and cancel */
    SoakCallers(std::vector<std::string> nodeAddresses, int port, InvariantChecker &checker,
                unsigned seed, bool leavesEarly);
    ~SoakCallers();

    SoakCallers(const SoakCallers &) = delete;
    SoakCallers &operator=(const SoakCallers &) = delete;

    /** Stops submitting jobs. */
    void stopSubmitting() { this->submitting = false; }

    /** Waits until the last submission and its cancellation have ended. */
    void waitUntilStopped();

    /** Queries the state of each accepted job that is not finished. */
    void queryUnfinishedJobs();

private:
    void run();
    void submit();
    void cancel(const std::string &job);

    /** Submits a job whose tasks run until it is cancelled, leaves before the answer, and cancels
        it until a node acknowledges that. */
    void submitAndLeave();
    void queryState(const std::string &job);
    static std::string randomJob(std::mt19937_64 &generator);
    const std::string &randomNode();

    /** Returns the client that keeps its connection to a node open until the node's process is
       gone; for the thread that submits. */
    httplib::Client &openConnection(const std::string &address);

    const std::vector<std::string> addresses;
    const int port;
    InvariantChecker &checker;
    const bool leavesEarly;
    std::mt19937_64 random;
    /** Of callers that leave early, so that the others do the same with and without them. */
    std::mt19937_64 leavingRandom;
    std::atomic<bool> submitting = true;
    std::map<std::string, std::unique_ptr<httplib::Client>> connections;
    std::thread thread;
};

} // namespace bulrush::soak
