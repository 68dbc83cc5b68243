#pragma once

#include "soak/InvariantChecker.h"
#include "standins/common/LoopbackServer.h"
#include "standins/common/ProcessClock.h"

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace bulrush::soak {

/**
    A worker as on the users' platform: checks fencing tokens, ends all runs when its lease lapses,
    and lists ended runs in each answer until the owner acknowledges them.
*/
class WorkerServer
{
public:
    WorkerServer(std::string name, InvariantChecker &checker);
    ~WorkerServer();

    WorkerServer(const WorkerServer &) = delete;
    WorkerServer &operator=(const WorkerServer &) = delete;

    /** Returns the worker's entry in the list of workers. */
    std::string listEntry();

    const std::string &workerName() const { return this->name; }

    /** Returns the number of runs that were started. */
    std::uint64_t startedRuns() const { return this->startCount; }

    /** Simulates a restart of the process: its runs and all other state are lost. */
    void crash();

    /** While set, commands take effect but get no answer. */
    std::atomic<bool> silent = false;

private:
    using Request = httplib::Request;
    using Response = httplib::Response;

    struct Run
    {
        std::uint64_t attempt = 0;
        std::int64_t startedAt = 0;
    };

    struct EndedRun
    {
        std::uint64_t number = 0;
        std::string task;
        std::uint64_t attempt = 0;
        std::string outcome;
    };

    void start(const Request &request, Response &answer);
    void stop(const Request &request, Response &answer);
    void hold(const Request &request, Response &answer);
    bool checkFencingToken(const nlohmann::json &command, Response &answer);
    void extendLease(const nlohmann::json &command);
    void endRun(const std::string &task, const std::string &outcome);
    void refuse(Response &answer, const char *reason);
    void runTasks();
    std::int64_t workerClock() const { return this->clock.nowMs() - this->processStartedAt; }

    const std::string name;
    InvariantChecker &checker;
    standins::ProcessClock clock;
    std::mutex mutex;
    std::condition_variable changed;
    std::int64_t processStartedAt;
    std::uint64_t fencingToken = 0;
    std::int64_t leaseEnd = 0;
    std::map<std::string, Run> running;
    std::map<std::string, std::uint64_t> highestAttempt;
    std::vector<EndedRun> endedRuns;
    std::uint64_t lastEndNumber = 0;
    std::atomic<std::uint64_t> startCount = 0;
    std::atomic<bool> closing = false;
    standins::LoopbackServer server;
    int port = 0;
    std::thread taskThread;
};

} // namespace bulrush::soak
