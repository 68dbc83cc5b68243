#pragma once

#include "../../standins/common/LoopbackServer.h"
#include "Record.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

/** One run of a task, as the executors saw it. Times are milliseconds of the record. */
struct RunOfTask
{
    std::string task;
    std::uint64_t attempt = 0;
    std::string executor;
    std::int64_t startedAt = 0;
    /** None while it runs. */
    std::optional<std::int64_t> endedAt;
    std::string how;
    /** When a hold acknowledged the end. */
    std::optional<std::int64_t> notedAt;
};

/** All runs on all executors. */
class RunBook
{
public:
    std::size_t add(RunOfTask run);
    void end(std::size_t index, std::int64_t at, const std::string &how);
    void note(std::size_t index, std::int64_t at);

    /** Returns the runs of a task, or all without a name. */
    std::vector<RunOfTask> runsOf(const std::string &task) const;

private:
    mutable std::mutex mutex;
    std::vector<RunOfTask> runs;
};

/** What the executors of a case do with tasks and orders. */
struct ExecutorRules
{
    std::int64_t cpu = 64'000;
    std::int64_t memMb = 250'000;
    std::int64_t holdMaxMs = 6000;
    std::int64_t stopMs = 100;

    /** Whether the begins and ends of runs are left out of the record. */
    bool quiet = false;

    /** Returns how long a task works; none for one that lasts. */
    std::function<std::optional<Milliseconds>(const std::string &task)> workOf;

    /** Returns what a task takes of the room, in thousandths of a core. */
    std::function<std::int64_t(const std::string &task)> cpuOf;

    /** Returns after how long a start is carried out that gets no answer; none for one that is
        answered. */
    std::function<std::optional<Milliseconds>(const std::string &task)> lateStart;
};

/** An executor that guards its capacity. A crash ends its process; the next one has its id. */
class Executor
{
public:
    Executor(std::string id, Record &record, RunBook &book, const ExecutorRules &rules);
    ~Executor();

    Executor(const Executor &) = delete;
    Executor &operator=(const Executor &) = delete;

    int start();

    /** Returns the entry that it writes to the platform's store. */
    std::string entry();

    const std::string &name() const { return this->id; }

    /** Ends the process: everything that runs ends, and calls get no answer. */
    void crash();

    /** Starts a process under the same id, which knows nothing of before. */
    void restart();

    bool isUp();

    /** Returns for how many milliseconds it has been down; 0 while it is up. */
    std::int64_t downFor();

    /** Ends a task that works until it is told so. @param how as it is listed */
    void finish(const std::string &task, const std::string &how = "done");

private:
    using Request = httplib::Request;
    using Response = httplib::Response;
    using Json = nlohmann::json;
    using Handler = void (Executor::*)(const Request &, Response &);
    using RunKey = std::pair<std::string, std::uint64_t>;

    struct Run
    {
        std::size_t index = 0;
        std::int64_t startedAt = 0;
        std::optional<Milliseconds> work;
        std::int64_t cpu = 0;
        std::optional<std::int64_t> stopsAt;
    };

    struct End
    {
        std::uint64_t number = 0;
        RunKey run;
        std::size_t index = 0;
        std::string how;
    };

    httplib::Server::Handler guarded(Handler handler);
    void runStart(const Request &request, Response &answer);
    void runStop(const Request &request, Response &answer);
    void hold(const Request &request, Response &answer);
    void pace(const Request &request, Response &answer);
    std::pair<int, Json> carryOut(const Json &order);
    bool passesFence(const Json &order, Response &answer);
    void extendLease(const Json &order);
    void endRun(const RunKey &run, const std::string &how);
    void work();
    void write(const std::string &line);
    std::int64_t clockMs() const { return this->record.now() - this->startedAt; }
    std::int64_t usedCpu() const;

    const std::string id;
    Record &record;
    RunBook &book;
    const ExecutorRules &rules;
    bulrush::standins::LoopbackServer server;
    int port = 0;
    std::mutex mutex;
    std::condition_variable changed;
    bool up = true;
    std::int64_t downSince = 0;
    bool closing = false;
    std::uint64_t life = 0;
    std::int64_t startedAt = 0;
    std::int64_t born = 0;
    std::uint64_t fence = 0;
    std::int64_t leaseEnd = 0;
    std::map<RunKey, Run> running;
    std::vector<End> ends;
    std::uint64_t endCount = 0;
    /** The highest attempt of each task that was stopped or ended here. */
    std::map<std::string, std::uint64_t> closedAttempts;
    std::thread worker;
    std::vector<std::thread> lateThreads;
};

} // namespace review
