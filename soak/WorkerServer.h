#pragma once

#include "soak/InvariantChecker.h"
#include "standins/common/LoopbackServer.h"
#include "standins/common/ProcessClock.h"

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace bulrush::soak {

/**
    A worker as on the users' platform: checks fencing tokens, ends all runs when its lease lapses,
    and lists ended runs in each answer until the owner acknowledges them.

    Commands may be carried out late: they get no answer, and have their effect 1 to 4 s later, even
    while the worker is cut off, on the process that the worker has by then.
*/
class WorkerServer
{
public:
    /** The payload of jobs whose tasks run until they are stopped. */
    static constexpr const char *lastingPayload = "soak, until stopped";

    /** @param seed for the choice of commands that are carried out late */
    WorkerServer(std::string name, InvariantChecker &checker, unsigned seed,
                 std::string dataCentre = "z1");
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

    /** Ends the connection to the worker, which goes on without it: commands that arrive from now
       on have no effect, and no open one is answered any more.
        @param drops whether connections are closed at once; they stay silent otherwise */
    void cutOff(bool drops);
    void reconnect();

    /** While set, commands take effect but get no answer. */
    std::atomic<bool> silent = false;

    /** While set, runs last until the lease lapses. */
    std::atomic<bool> runsLong = false;

    /** How many of the commands are carried out late, in percent. */
    std::atomic<int> latePercent = 0;

private:
    using Request = httplib::Request;
    using Response = httplib::Response;
    using Command = void (WorkerServer::*)(const Request &, Response &);

    struct LateCommand
    {
        Command command;
        Request request;
        std::int64_t dueAt = 0;
    };

    struct Run
    {
        std::uint64_t attempt = 0;
        std::int64_t startedAt = 0;
        /** Whether it runs until it is stopped. */
        bool lasts = false;
    };

    struct EndedRun
    {
        std::uint64_t number = 0;
        std::string task;
        std::uint64_t attempt = 0;
        std::string outcome;
    };

    void receive(Command command, const Request &request, Response &answer);

    /** Returns whether a command is to be carried out late, and keeps it until then. */
    bool isLate(Command command, const Request &request);
    void carryOutLateCommands();
    void leaveUnanswered();
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
    const std::string dataCentre;
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
    std::vector<LateCommand> lateCommands;
    std::mt19937 random;
    std::atomic<bool> isCutOff = false;
    std::atomic<bool> dropsConnections = false;
    std::atomic<std::uint64_t> cutCount = 0;
    std::atomic<std::uint64_t> startCount = 0;
    std::atomic<bool> closing = false;
    standins::LoopbackServer server;
    int port = 0;
    std::thread taskThread;
};

} // namespace bulrush::soak
