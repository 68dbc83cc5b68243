#pragma once

#include "Checker.h"

#include "bulrush_core/time/Clock.h"

#include <map>

namespace bulrush::explorer {

/** What the safety rests on at the worker; a test switches one off to see what it prevents. */
struct WorkerHelp
{
    bool compareToken = true;
    bool compareIncarnation = true;
    bool compareValidity = true;
    bool runsOutLeases = true;
};

/** A worker with its own books. Its clock runs at its own rate. */
class FakeWorker
{
public:
    FakeWorker(const VmId &id, const Resources &capacity, Checker &checker, const WorkerHelp &help);

    /** Answers a request, as of the worker's present time. */
    ExchangeAnswer handle(const ExchangeRequest &request);

    /** Lets time pass: work goes on, leases run out, tasks finish. */
    void advance(Duration span);

    /** Loses the books, as a restarted process does. */
    void restart();

    /** Ends the VM. */
    void kill();

    bool isAlive() const { return this->alive; }
    void setLeaving() { this->leaving = true; }
    bool isLeaving() const { return this->leaving; }
    void setFailing(bool failsEverything) { this->failing = failsEverything; }

    /** Makes every task of a job fail here. */
    void failJob(const JobId &job) { this->failingJobs.insert(job); }

    const VmId &id() const { return this->vm; }
    std::size_t runningCount() const;

private:
    struct Held
    {
        InventoryItem item;
        std::int64_t leaseEndMs = 0;
        std::int64_t runMs = 0;
        std::int64_t doneMs = 0;
        TaskKind kind = TaskKind::Batch;
    };

    void start(const StartCommand &command, Epoch epoch);
    void end(Held &held, AttemptState state);
    void checkpoint(const AttemptId &attempt);
    void obey(const ExchangeRequest &request, bool fresh, bool owner);
    Resources used() const;

    VmId vm;
    Resources capacity;
    Checker &checker;
    WorkerHelp help;
    bool alive = true;
    bool leaving = false;
    bool failing = false;
    std::set<JobId> failingJobs;
    std::uint64_t incarnation = 1;
    std::int64_t clockMs = 1000;
    Epoch epoch = 0;
    std::uint64_t sequence = 0;
    std::map<AttemptId, Held> books;
};

} // namespace bulrush::explorer
