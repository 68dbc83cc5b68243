#pragma once

#include "soak/Judge.h"
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

/** A worker as the users' platform runs them: fencing tokens, leases, ends that are listed again.
 */
class WorkerServer
{
public:
    WorkerServer(std::string name, Judge &judge);
    ~WorkerServer();

    WorkerServer(const WorkerServer &) = delete;
    WorkerServer &operator=(const WorkerServer &) = delete;

    /** Returns what the worker says of itself in the list of workers. */
    std::string entry();

    const std::string &workerName() const { return this->name; }

    /** Everything that runs is gone; it starts anew. */
    void crash();

    /** Orders get no answer while it is set; they are carried out all the same. */
    std::atomic<bool> silent = false;

private:
    using Request = httplib::Request;
    using Response = httplib::Response;

    struct Run
    {
        std::uint64_t attempt = 0;
        std::int64_t startedAt = 0;
    };

    struct End
    {
        std::uint64_t number = 0;
        std::string task;
        std::uint64_t attempt = 0;
        std::string how;
    };

    void start(const Request &request, Response &answer);
    void stop(const Request &request, Response &answer);
    void hold(const Request &request, Response &answer);
    bool admit(const nlohmann::json &order, Response &answer);
    void extend(const nlohmann::json &order);
    void end(const std::string &task, const std::string &how);
    void refuse(Response &answer, const char *reason);
    void work();
    std::int64_t workerClock() const { return this->clock.nowMs() - this->bornAt; }

    const std::string name;
    Judge &judge;
    standins::ProcessClock clock;
    std::mutex mutex;
    std::condition_variable changed;
    std::int64_t bornAt;
    std::uint64_t fencingToken = 0;
    std::int64_t leaseEnd = 0;
    std::map<std::string, Run> running;
    std::map<std::string, std::uint64_t> highestAttempt;
    std::vector<End> ends;
    std::uint64_t lastEnd = 0;
    std::atomic<bool> closing = false;
    standins::LoopbackServer server;
    int port = 0;
    std::thread worker;
};

} // namespace bulrush::soak
