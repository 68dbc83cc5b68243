#pragma once

#include "FakeWorkers.h"

#include <algorithm>
#include <vector>

namespace bulrush::test {

inline constexpr milliseconds tickInterval { 10 };

/** How long after a takeover orders of the former owner may have an effect. */
inline constexpr milliseconds formerOrdersLifetime { 11'800 };

inline StepJob makeJob(const char *id, std::uint32_t tasks)
{
    StepJob job;
    job.id = JobId(id);
    job.queue = "checks";
    job.service = ServiceId("review");
    job.maxAttempts = 2;
    job.slackFactor = 2.0;
    StepSpec step;
    step.taskCount = tasks;
    step.size = { 4000, 1000, 0 };
    step.estimate = milliseconds(500);
    job.steps = { step };
    return job;
}

inline WorkerEntry makeWorkerEntry(const char *name)
{
    WorkerEntry entry;
    entry.worker = TargetId(name);
    entry.service = ServiceId("review");
    entry.endpoint = { "127.0.0.1", 1 };
    entry.capacity = { 64000, 256000, 0 };
    entry.labels = { "a", "r1-1" };
    entry.processStartedAt = 1;
    return entry;
}

/** Returns the job table that a new owner reads: one job, and a roster of the workers that may run
    its task.
    @param writer the fencing token of the owner that wrote the roster */
inline StepJobTable makeJobTable(const StepJob &job, const std::vector<TargetId> &roster,
                                 const Clock &clock, std::uint64_t writer = 2)
{
    StepJobTable table;
    table.applyJobRecord({ records::jobKey(job.id), records::encode(job), 1 }, clock);
    table.applyProgress(
            { records::rosterKey(), records::encode(Roster { roster, writer, {} }), 1 });
    return table;
}

/** Keeps the fields of all lines by their event. */
class RecordedDecisions : public DecisionLog
{
public:
    void write(const DecisionLine &line) override
    {
        this->lines[line.event()].push_back(line.fields());
    }

    std::map<Event, std::vector<std::string>> lines;
};

/** A Dispatcher with fake workers and a fake log, on a clock that only the test advances. */
class DispatcherFixture : public Dispatcher::Listener
{
public:
    explicit DispatcherFixture(const DispatchSettings &dispatchSettings = settings())
        : workers(clock)
        , dispatcher(clock, workers, &processes, log, dispatchSettings, decisions, *this)
    {
    }

    void superseded(std::string_view /*by*/) override
    {
        this->ownershipLost = true;
        this->dispatcher.end();
    }
    void recordsObsolete(const std::vector<KeyedRecord> &removals) override
    {
        this->obsoleteRecords = removals;
    }
    void tasksHeld(const HeldTasks &tasks) override { this->held = tasks; }
    void longRunningTaskStarted(Duration waited) override { this->restartWaits.push_back(waited); }
    bool isOwner() const override { return this->owner; }
    bool isSoleOwner() const override { return this->owner && this->soleOwner; }

    void begin(StepJobTable table, std::uint64_t token = 3)
    {
        OwnershipTerm term;
        term.fencingToken = token;
        term.gainedAt = this->clock.now();
        term.previousOwnerSettledAt = this->clock.now() + formerOrdersLifetime;
        this->dispatcher.begin(term, std::move(table));
    }

    /** Lists a worker as its present process describes itself. */
    void listWorker(const char *name)
    {
        WorkerEntry entry = makeWorkerEntry(name);
        entry.processStartedAt = this->worker(name).processStartedAt;
        this->dispatcher.workerListed(entry);
    }

    void accept(const StepJob &job)
    {
        this->dispatcher.applyJobRecord({ records::jobKey(job.id), records::encode(job), 9 });
    }

    void cancel(const char *id)
    {
        this->dispatcher.applyJobRecord(
                { records::cancellationKey(JobId(id)), R"({"schema":1})", 10 });
    }

    void runFor(milliseconds span)
    {
        for (milliseconds passed { 0 }; passed < span; passed += tickInterval) {
            this->clock.advance(tickInterval);
            this->dispatcher.tick();
            this->workers.deliver();
            this->processes.deliver();
            this->log.deliver();
            if (this->restartedWorkersListThemselves) {
                this->listRestartedWorkers();
            }
        }
    }

    /** Lists the workers anew of which the owner has heard of a later process than their entries
        are of. */
    void listRestartedWorkers()
    {
        std::vector<WorkerEntry> entries;
        for (const auto &[id, known] : this->dispatcher.runs().workers()) {
            const bool restarted = known.processStartedAt > known.entry.processStartedAt;
            if (restarted && known.listed) {
                entries.push_back(known.entry);
                entries.back().processStartedAt = known.processStartedAt;
            }
        }
        for (const WorkerEntry &entry : entries) {
            this->dispatcher.workerListed(entry);
        }
    }

    FakeWorker &worker(const char *name) { return this->workers.workers[TargetId(name)]; }

    std::size_t startsOn(const char *name) const
    {
        return static_cast<std::size_t>(std::count_if(this->workers.starts.begin(),
                                                      this->workers.starts.end(),
                                                      [name](const FakeWorkers::SentStart &each) {
                                                          return each.worker == TargetId(name);
                                                      }));
    }

    static DispatchSettings settings()
    {
        DispatchSettings settings;
        settings.vmListCallsPerSecond = 60.0;
        return settings;
    }

    ManualClock clock;
    RecordedDecisions decisions;
    FakeWorkers workers;
    FakeProcesses processes;
    FakeLog log;
    bool owner = true;
    bool soleOwner = true;
    bool ownershipLost = false;
    /** Whether the entry of a worker's new process is read as soon as that process has answered. */
    bool restartedWorkersListThemselves = true;
    std::vector<KeyedRecord> obsoleteRecords;
    HeldTasks held;
    /** How long tasks of long-running steps waited, each time that a run was confirmed. */
    std::vector<Duration> restartWaits;
    Dispatcher dispatcher;
};

} // namespace bulrush::test
