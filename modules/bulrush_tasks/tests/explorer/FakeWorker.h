#pragma once

#include "Checker.h"

#include "bulrush_core/time/Clock.h"

#include <map>

namespace bulrush::explorer {

/** The worker's rules that the safety of leases depends on. A test disables one to show which
    violation it prevents. */
struct WorkerGuards
{
    bool compareToken = true;
    bool compareIncarnation = true;
    bool compareValidity = true;
    bool runsOutLeases = true;
};

/** Simulates a worker with its own record of attempts and its own clock. */
class FakeWorker
{
public:
    FakeWorker(const VmId &id, const Resources &capacity, Checker &checker,
               const WorkerGuards &guards);

    /** Handles a request at the worker's current time and returns the answer. */
    ExchangeAnswer handle(const ExchangeRequest &request);

    /** Advances the worker's clock: tasks make progress, finish or fail, and leases expire. */
    void advance(Duration span);

    /** Restarts the worker's process: it loses all attempts and gets a new incarnation. */
    void restart();

    /** Ends the VM and all its attempts. */
    void kill();

    bool isAlive() const { return this->alive; }
    void setLeaving() { this->leaving = true; }
    bool isLeaving() const { return this->leaving; }
    void setFailing(bool failsEverything) { this->failing = failsEverything; }

    /** Makes every task of a job fail on this worker. */
    void failJob(const JobId &job) { this->failingJobs.insert(job); }

    const VmId &id() const { return this->vm; }
    std::size_t runningCount() const;

private:
    struct AttemptEntry
    {
        InventoryItem item;
        std::int64_t leaseEndMs = 0;
        std::int64_t runMs = 0;
        std::int64_t progressMs = 0;
        TaskKind kind = TaskKind::Batch;
    };

    void start(const StartCommand &command, Epoch epoch);
    void end(AttemptEntry &entry, AttemptState state);
    void checkpoint(const AttemptId &attempt);
    void applyCommands(const ExchangeRequest &request, bool valid, bool fromOwner);
    Resources used() const;

    VmId vm;
    Resources capacity;
    Checker &checker;
    WorkerGuards guards;
    bool alive = true;
    bool leaving = false;
    bool failing = false;
    std::set<JobId> failingJobs;
    std::uint64_t incarnation = 1;
    std::int64_t clockMs = 1000;
    Epoch epoch = 0;
    std::uint64_t sequence = 0;
    std::map<AttemptId, AttemptEntry> attempts;
};

} // namespace bulrush::explorer
