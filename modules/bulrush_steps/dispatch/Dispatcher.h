#pragma once

#include "bulrush_steps/dispatch/DispatchSettings.h"
#include "bulrush_steps/dispatch/ProgressWriter.h"
#include "bulrush_steps/model/ServingConfig.h"
#include "bulrush_steps/model/StepJobBook.h"
#include "bulrush_steps/policy/DurationBook.h"
#include "bulrush_steps/policy/FillControl.h"
#include "bulrush_steps/policy/Placement.h"
#include "bulrush_steps/policy/WorkOrder.h"
#include "bulrush_steps/workers/RunKeeper.h"

#include <optional>
#include <set>

namespace bulrush {

/** What the owner was told when it began. */
struct OwnershipTerm
{
    std::uint64_t fencingToken = 0;
    /** When no order of a former owner can have an effect any more, on any worker. */
    Instant formerOrdersOver {};
    /** How long after its resignation an owner's orders may have an effect. */
    milliseconds resignedOrdersOver { 6000 };
};

/**
    The owner's side of the scheduler: starts tasks, follows them, and puts their ends on record.

    One node at a time is the owner; the fencing token that it orders with shuts out former ones.
*/
class Dispatcher : private RunKeeper::Listener, private ProgressWriter::Listener
{
public:
    /** Receives what concerns the ownership itself. */
    struct Listener
    {
        virtual ~Listener() = default;

        /** Called when another owner's traces are found. */
        virtual void superseded(std::string_view by) = 0;

        /** Returns whether this node is the owner at this moment. */
        virtual bool isOwner() const = 0;

        /** Returns whether no other node can be the owner at this moment. */
        virtual bool isSoleOwner() const = 0;

        /** Called when the first task of a job starts. @param waited since its acceptance */
        virtual void jobBegun(Duration /*waited*/) { }

        /** Called when a job's end is on record. @param took since its acceptance */
        virtual void jobEnded(JobState /*state*/, Duration /*took*/) { }
    };

    Dispatcher(const Clock &clock, WorkerOrders &port, KeyedLog &log,
               const DispatchSettings &settings, DecisionLog &decisions, Listener &listener);

    /** Begins with all that is on record. The store has taken the term's token as epoch before. */
    void begin(const OwnershipTerm &term, StepJobBook book);

    /** Ends: orders nothing more and forgets everything. */
    void end();

    bool active() const { return this->isActive; }

    /** Returns what this owner can say of itself when it ends; none when it is none. */
    std::optional<Resignation> resignation() const;

    /** Applies a record of the jobs' stream that was read after begin(). */
    void applyJobRecord(const KeyedRecord &record);

    void configure(const ServingConfig &config);
    void workerListed(const WorkerEntry &entry) { this->keeper.workerListed(entry); }
    void workerUnlisted(const TargetId &worker) { this->keeper.workerUnlisted(worker); }

    /** Does what is due: renews leases, starts waiting tasks, writes progress. */
    void tick();

    /** Returns what callers may be shown of a job; none when it is not known. */
    std::optional<JobState> stateOf(const JobId &job) const;

    /** Returns how many accepted jobs of a queue have not begun. */
    std::uint32_t waitingJobs(std::string_view queue) const;

    const StepJobBook &jobs() const { return this->book; }
    const RunKeeper &runs() const { return this->keeper; }

private:
    struct Candidate
    {
        JobEntry *job = nullptr;
        std::uint32_t occurrence = 0;
        std::uint32_t step = 0;
        /** How many serving tasks may be expected over their bounds beside a filling task of it. */
        double riskAllowed = 0.0;
    };

    // RunKeeper::Listener
    Run foundRun(const Worker &worker, const ListedRun &listed) override;
    std::uint64_t runEnded(const Worker &worker, const Run *run, const ListedEnd &end) override;
    void runLost(const Worker &worker, const Run &run, std::string_view reason) override;
    void startRefused(const Worker &worker, const Run &run, OrderOutcome outcome) override;
    void superseded(const Worker &worker) override;
    std::uint64_t storedChange() const override { return this->writer.storedChange(); }
    bool mayOrder() const override;
    bool soleOwner() const override { return this->listener.isSoleOwner(); }

    // ProgressWriter::Listener
    std::string progressRecord(const JobId &job) override;
    std::string rosterRecord() override;
    void stored(const std::vector<JobId> &jobs, bool withRoster) override;
    void fencedOff() override;

    void noteResignation();
    void updateRoster();
    void markRecordedWorkers();
    void controlFills(Instant now);
    void rescueRuns(Instant now);
    milliseconds usualDuration(const JobEntry &job, const TaskRef &task) const;
    void learnDuration(JobEntry &job, const Run &run);
    void plan(Instant now);
    void planRound(Instant now);
    bool mayStartMore() const;
    std::vector<Candidate> candidates(Instant now);
    void addCandidates(JobEntry &job, double riskAllowed, std::vector<Candidate> &list);
    WaitingJob describeWaiting(const JobEntry &job, Instant since, Instant now) const;
    bool planStep(const Candidate &candidate, Instant now);
    bool planGang(const Candidate &candidate, Instant now);
    void startTask(JobEntry &job, const TaskRef &ref, Worker &worker, std::uint64_t attempt);
    TaskRequest requestFor(const Candidate &candidate);
    std::uint64_t nextAttempt(const StepTask &task) const;
    bool occurrenceDue(const JobEntry &job, std::uint32_t occurrence) const;
    bool formerRunsSettled(const JobEntry &job, Instant now);
    void noteWaiting(const JobId &job);
    void stopRuns(const JobEntry &job, std::string_view why);
    void stopRun(const Worker &worker, Run &run, std::string_view why);
    Run describeRun(const JobEntry &job, const AttemptRef &attempt) const;
    void endGang(JobEntry &job, const AttemptRef &attempt);
    void release(StepTask &task, std::string checkpoint);

    /** Returns the job of a task; null when it has none. */
    JobEntry *jobOf(const TaskRef &task);

    /** Lets the task of a run that is not alive start again. */
    void giveBack(const Run &run);
    void jobChanged(const JobEntry &job);

    const Clock &clock;
    const DispatchSettings settings;
    DecisionLog &decisions;
    Listener &listener;
    RunKeeper keeper;
    ProgressWriter writer;
    StepJobBook book;
    ServingConfig config;
    OwnershipTerm term;
    DurationBook durations;
    FillControl fillControl;
    bool isActive = false;
    bool formerSettled = false;
    Instant nextSlowBeat {};
    Instant nextPlan {};
    /** The workers that are to go on record, those of the append under way, those on record. */
    std::set<TargetId> writtenRoster;
    std::set<TargetId> sentRoster;
    std::set<TargetId> recordedRoster;
    /** Jobs that may have tasks to start, and since when. */
    std::map<JobId, Instant> waiting;
};

} // namespace bulrush
