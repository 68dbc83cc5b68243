#pragma once

#include "review/standins-3/Record.h"
#include "soak/StoreServer.h"
#include "standins/common/LoopbackServer.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace bulrush::review {

/** A task as an executor begins it. */
struct BegunTask
{
    std::string executor;
    /** The kind that the executor's present process has. */
    std::string kind;
    std::string task;
    std::uint64_t attempt = 0;
};

/**
    An executor as PROTOCOL.md describes it: checks fence numbers, limits leases, numbers its ends
    and lists them until they are taken note of, and writes its entry to the store in each check-in
    interval.

    The `spec` of a task says how long it works, in milliseconds; a task with the spec `lasts` works
    until it is stopped. While its process is down, the executor closes each connection.
*/
class FleetWorker
{
public:
    using BegunHandler = std::function<void(FleetWorker &, const BegunTask &)>;

    FleetWorker(std::string id, std::string firstKind, std::string zone, soak::StoreServer &store,
                Record &record, BegunHandler begun);
    ~FleetWorker();

    FleetWorker(const FleetWorker &) = delete;
    FleetWorker &operator=(const FleetWorker &) = delete;

    const std::string &name() const { return this->id; }

    /** Ends the process after a delay. It starts again, with the same id and address, once it was
        down for a time, as an executor of the given kind. */
    void crashIn(std::int64_t delayMs, std::int64_t downMs, const std::string &nextKind);

    /** Returns the row of its machine in the platform's list of machines. */
    nlohmann::json machineRow();

    /** Leaves the next order to start a task without an answer, and carries it out a while after
       the next start of the process. */
    void holdBackStart(const std::string &task, std::int64_t afterBootMs);

    /** Returns whether a task is at work. */
    bool runs(const std::string &task);

    /** Returns the number of orders that were received. */
    int ordersReceived() const { return this->orders; }

    /** Returns the tasks of a submission that are at work. */
    int tasksAtWork(const std::string &submission);

private:
    using Request = httplib::Request;
    using Response = httplib::Response;
    using Command = void (FleetWorker::*)(const Request &, Response &);

    struct Run
    {
        std::uint64_t attempt = 0;
        std::int64_t startedAt = 0;
        /** How long it works; negative for a task that lasts. */
        std::int64_t worksMs = 0;
    };

    struct EndedRun
    {
        std::uint64_t number = 0;
        std::string task;
        std::uint64_t attempt = 0;
        std::string how;
    };

    void receive(Command command, const Request &request, Response &answer);
    void start(const Request &request, Response &answer);
    void stop(const Request &request, Response &answer);
    void hold(const Request &request, Response &answer);
    bool checkFence(const nlohmann::json &command, Response &answer);
    void extendLease(const nlohmann::json &command);
    void refuse(Response &answer, const char *reason);
    void endRun(const std::string &task, const std::string &how);
    bool isHeldBack(const nlohmann::json &command, const Request &request);
    void carryOutLate();
    void live();
    void crash();
    void boot();
    void endTasks();
    void checkIn();
    std::int64_t steadyMs() const { return this->clock.nowMs() - this->born; }

    const std::string id;
    std::string kind;
    const std::string zone;
    soak::StoreServer &store;
    Record &record;
    const BegunHandler begun;
    standins::ProcessClock clock;
    std::mutex mutex;
    std::condition_variable changed;
    std::atomic<bool> closing = false;
    std::atomic<bool> down = false;
    std::int64_t born = 0;
    std::int64_t crashAt = 0;
    std::int64_t downMs = 0;
    std::int64_t bootAt = 0;
    std::int64_t checkInAt = 0;
    bool hasEntry = false;
    std::int64_t entryWrittenAt = 0;
    std::string nextKind;
    std::string lateTask;
    std::int64_t lateAfterBootMs = 0;
    std::int64_t lateAskedAt = 0;
    bool lateDue = false;
    Request lateRequest;
    std::atomic<int> orders = 0;
    std::uint64_t sequence = 0;
    std::uint64_t life = 0;
    std::uint64_t fence = 0;
    std::int64_t leaseEnd = 0;
    std::uint64_t lastEnd = 0;
    std::map<std::string, Run> running;
    std::map<std::string, std::uint64_t> highestAttempt;
    std::vector<EndedRun> ended;
    standins::LoopbackServer server;
    int port = 0;
    std::thread thread;
};

} // namespace bulrush::review
