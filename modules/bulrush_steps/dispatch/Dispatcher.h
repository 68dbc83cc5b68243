#pragma once

#include "bulrush_evacuation/gate/EvacuationGate.h"
#include "bulrush_evacuation/moves/EvacuationMoves.h"
#include "bulrush_steps/dispatch/AssignedStarts.h"
#include "bulrush_steps/dispatch/DispatchSettings.h"
#include "bulrush_steps/dispatch/EvacuationLoad.h"
#include "bulrush_steps/dispatch/Planner.h"
#include "bulrush_steps/dispatch/ProgressWriter.h"
#include "bulrush_steps/model/ServingConfig.h"
#include "bulrush_steps/model/StepJobTable.h"
#include "bulrush_steps/ownership/OwnershipTerm.h"
#include "bulrush_steps/ownership/TakeoverWait.h"
#include "bulrush_steps/policy/FillController.h"
#include "bulrush_steps/policy/QueueService.h"
#include "bulrush_steps/workers/EndedWorkerFinder.h"
#include "bulrush_steps/workers/WorkerManager.h"
#include "bulrush_steps/workers/WorkerRoster.h"

#include <optional>
#include <set>
#include <vector>

namespace bulrush {

/** How much an owner has to do at one moment. */
struct DispatchLoad
{
    PlanLoad plan;
    WorkerProcessCounts workerProcesses;
    /** Since the start of the process. */
    LapsedRunCounts lapsedRuns;
    /** Start requests without an answer. */
    std::uint32_t openStarts = 0;
    /** Runs that may be alive. */
    std::size_t runs = 0;
    /** The capacity of all workers that take tasks, and the part of it that is not reserved. */
    ResourceVector capacity;
    ResourceVector free;
    /** The processors of these workers that long-running runs reserve, and those that runs reserve
        which end by themselves, in thousandths. */
    std::int64_t longRunningCpuMilli = 0;
    std::int64_t endingCpuMilli = 0;
    /** Workers that take no new tasks because they drain. */
    std::size_t leavingWorkers = 0;
    /** Starts that wait for the record of their assignment. */
    std::uint32_t unsentStarts = 0;
    EvacuationLoad evacuation;
    /** How the queues were served when they were last judged. */
    std::vector<QueueReport> queues;
};

/**
    The owner's side of the scheduler: starts tasks, tracks them, and persists their results.

    Only one node at a time is the owner. Its commands carry a fencing token, so that workers reject
    commands of previous owners.
*/
class Dispatcher : private WorkerManager::Listener,
                   private ProgressWriter::Listener,
                   private Planner::Listener,
                   private EndedWorkerFinder::Listener,
                   private TakeoverWait::Observer
{
public:
    /** Provides the state of the ownership, and receives events of the ownership and of jobs. */
    struct Listener
    {
        virtual ~Listener() = default;

        /** Called when evidence of a newer owner is found. @param by where it was found */
        virtual void superseded(std::string_view by) = 0;

        /** Returns whether this node is currently the owner. */
        virtual bool isOwner() const = 0;

        /** Returns whether currently no other node can be the owner. */
        virtual bool isSoleOwner() const = 0;

        /** Returns when the store last answered any call of this node. */
        virtual Instant storeAnsweredAt() const { return Instant(); }

        /** Called when records of former owners are no longer needed.
            @param removals the records that remove them from the jobs stream */
        virtual void recordsObsolete(const std::vector<KeyedRecord> & /*removals*/) { }

        /** Called each second while tasks may not start because of former owners, and with none
           once they may. */
        virtual void tasksHeld(const HeldTasks & /*held*/) { }

        /** Called when the first task of a job is started. @param waited time since acceptance */
        virtual void jobStarted(Duration /*waited*/) { }

        /** Called when a worker has confirmed the run of a task of a long-running step.
            @param waited time since its last run, or since the acceptance of its job */
        virtual void longRunningTaskStarted(Duration /*waited*/) { }

        /** Called when the success or failure of a job is persisted.
            @param took time since acceptance */
        virtual void jobEnded(JobState /*state*/, Duration /*took*/) { }
    };

    /** @param processes null when the platform offers no list of VMs */
    Dispatcher(const Clock &clock, WorkerCommands &port, WorkerProcessList *processes,
               KeyedLog &log, const DispatchSettings &settings, DecisionLog &decisions,
               Listener &listener);

    /** Starts dispatching with the state read from the log. The store must already have accepted
        the term's fencing token as the epoch of the progress stream. */
    void begin(const OwnershipTerm &term, StepJobTable persistedJobs);

    /** Stops dispatching and discards all state. */
    void end();

    bool active() const { return this->isActive; }

    /** Returns whether it dispatches and waits for no former owner any more. */
    bool isSettled() const { return this->isActive && this->takeoverWait.isOver(); }

    /** Returns the resignation to persist when this ownership ends; nullopt while inactive. */
    std::optional<Resignation> resignation() const;

    /** Returns the former owners whose processes are to be asked whether they have stopped. */
    std::vector<OwnerRecord> formerOwnersToAsk() const;

    /** Notes that a former owner sends no more commands, for example because its process ended.
        @returns the resignation to persist on its behalf */
    Resignation formerOwnerStopped(std::uint64_t fencingToken);

    /** Applies a record of the jobs stream that was read after begin(). */
    void applyJobRecord(const KeyedRecord &record);

    void configure(const ServingConfig &config);

    /** Applies evacuation requests from now on, if the settings have a bound for them.
        @param requests must outlive the dispatcher */
    void followEvacuations(const EvacuationRequests &requests);

    /** Adds or updates a worker. May be called before begin(), so that the list of workers is known
        as soon as the records are read. */
    void workerListed(const WorkerEntry &entry);

    /** Notes that the list no longer holds a worker. May be called before begin(). */
    void workerUnlisted(const TargetId &worker, RemovalCause cause)
    {
        this->workerManager.workerUnlisted(worker, cause);
    }

    /** Performs the work that is due: renews leases, starts waiting tasks, writes progress. */
    void tick();

    /** Returns the state of a job as shown to callers; nullopt for an unknown job. */
    std::optional<JobState> stateOf(const JobId &job) const;

    /** Returns the number of accepted jobs of a queue that have not started. Jobs with a schedule
        are not counted. */
    std::uint32_t waitingJobs(std::string_view queue) const;

    DispatchLoad load() const;

    /** Returns the memory that the jobs take that have not ended, in bytes, as of the last second.
     */
    std::size_t jobMemory() const { return this->memoryOfOpenJobs; }

    const StepJobTable &jobs() const { return this->jobTable; }
    const WorkerManager &runs() const { return this->workerManager; }

private:
    // WorkerManager::Listener
    Run adoptRun(const Worker &worker, const ListedRun &listed) override;
    void runConfirmed(const Run &run) override;
    std::uint64_t runEnded(const Worker &worker, const Run *run, const ListedEnd &end) override;
    void runLost(const Worker &worker, const Run &run, std::string_view reason) override;
    void runCrashed(const Worker &worker, const Run &run, CrashSign sign,
                    std::string_view evidence) override;
    void startRefused(const Worker &worker, const Run &run, CommandOutcome outcome) override;
    void workerKnown(const TargetId &worker) override;
    void superseded(const Worker &worker) override;
    std::uint64_t storedChange() const override { return this->writer.storedChange(); }
    bool mayCommand() const override;
    bool maySendStarts() const override;
    std::uint32_t movingTasks(const StepRef &step) const override;
    bool mayRenewLeases() const override
    {
        return this->roster.isRecorded() || this->listener.isSoleOwner();
    }
    bool isSoleOwner() const override { return this->listener.isSoleOwner(); }

    // EndedWorkerFinder::Listener
    void workerEnded(const TargetId &worker) override;
    bool isCredible(const WorkerProcesses &processes) const override;

    // TakeoverWait::Observer
    HeldTasks heldTasks() const override;
    void tasksHeld(const HeldTasks &held) override { this->listener.tasksHeld(held); }
    std::string statesOf(const std::set<TargetId> &workers) const override;
    std::optional<milliseconds> vmListAge() const override { return this->endedWorkers.listAge(); }

    // ProgressWriter::Listener
    ProgressRecord progressRecord(const ProgressPart &part) override;
    void recordTooLong(const ProgressPart &part, std::size_t bytes) override;
    void appendRejected(std::size_t records, std::size_t bytes) override;
    std::string rosterRecord() override;
    void stored(const std::vector<WrittenProgress> &parts, bool withRoster) override;
    void writerFenced() override;

    // Planner::Listener
    bool mayStart(const JobEntry &job) const override;
    bool mayStart(const JobEntry &job, const StepSpec &step, const StepTask &task) const override;
    std::uint64_t nextAttempt(const StepTask &task) const override;
    std::uint32_t unsentStarts(bool fills) const override
    {
        return this->assignedStarts.count(fills);
    }
    void startTask(JobEntry &job, const TaskRef &ref, Worker &worker, std::uint64_t attempt,
                   std::uint32_t paceLimit, bool roomReserved) override;
    bool mayPreempt() const override;
    void preempt(Worker &worker, const AttemptRef &attempt) override;

    /** What the roster depends on. */
    struct RosterBasis
    {
        std::uint64_t membershipVersion = 0;
        /** The number of workers of former owners that are still waited for. */
        std::size_t awaitedWorkers = 0;

        bool operator==(const RosterBasis &) const = default;
    };

    void addWaiting(const JobEntry &job);

    /** Counts a job's tasks that could start but for former owners. */
    void countHeldTasks(const JobEntry &job, HeldTasks &held) const;

    /** Has the record of a task name the worker of its next run. The record is written anew even if
        it names that worker already: the store refuses it if there is a newer owner. */
    void recordAssignment(JobEntry &job, const TaskRef &ref, const TargetId &worker);

    /** Has the record of a long-running task name the worker on which a run of it was found. */
    void recordFoundRun(JobEntry &job, const TaskRef &ref, const TargetId &worker);

    /** Sends the starts whose assignments are on record, and discards those that are no longer
        wanted or possible. */
    void sendAssignedStarts();

    /** Shows callers the success or failure of a job, which is stored now. */
    void endStored(JobEntry &job);

    /** Gives up a start that was not sent, and plans its task anew. */
    void discardStart(Worker &worker, const AttemptRef &attempt);
    void sendStart(JobEntry &job, Worker &worker, Run &run);

    /** Removes the records of former owners, once none of their commands matters any more and what
        was found of them is on record. */
    void removeRecordsOfFormerOwners();

    /** Returns why no start may be sent to any data centre because of evacuations. */
    StartBlock startBlock() const;

    /** Applies the evacuation requests to the workers. */
    void followEvacuationRequests(Instant now);

    /** Logs when starts are withheld because the requests are not known, and when they resume. */
    void reportStartBlock(Instant now);

    /** Stops long-running runs in evacuated data centres as far as they have room elsewhere. */
    void moveRunsOut(Instant now);

    /** A long-running run in an evacuated data centre. */
    struct RunToMove
    {
        Worker *worker = nullptr;
        AttemptRef attempt;
    };

    /** Describes the runs that may be moved. @param found set to the runs by their numbers */
    std::vector<EvacuatedRun> evacuatedRuns(std::vector<RunToMove> &found);

    /** Stops all runs of a gang of which a start was given up, so that it starts elsewhere. */
    void stopGang(const JobEntry &job, const StepRef &gang);

    /** Has the earlier runs of a task stopped beside a run of it that was found, unless it may have
        several. @returns whether there is a later run, which the found one gives way to */
    bool settleWithOtherRuns(const JobEntry &job, const AttemptRef &found);

    /** Notes that the task of a run is no longer being moved. */
    void endMove(const TaskRef &task) { this->movingSince.erase(task); }
    EvacuationLoad evacuationLoad() const;

    /** Has the list of VMs read for workers that may have ended. */
    void findEndedWorkers();
    void updateRoster();
    void controlFills(Instant now);
    void moveUnhealthyRuns(Instant now);
    milliseconds typicalDuration(const JobEntry &job, const TaskRef &task) const;
    void recordDuration(JobEntry &job, const Run &run);
    void stopRuns(const JobEntry &job, std::string_view reason);
    void stopRun(Worker &worker, Run &run, std::string_view reason);
    Run describeRun(const JobEntry &job, const AttemptRef &attempt) const;
    void completeGang(JobEntry &job, const AttemptRef &attempt);
    void closeRun(StepTask &task, std::string checkpoint);

    /** Has it put on record since when a long-running task without a run waits, and that no worker
        has a run of it. */
    void recordWait(JobEntry &job, const TaskRef &ref);

    /** Notes the workers that the records of a job's long-running tasks name. */
    void noteAssignments(const JobEntry &job);

    /** Has it put on record that a task has no run, if the worker that its record names has none.
        @param worker one of which all is known that it may run of former owners */
    void recordNoRun(const TaskRef &ref, const TargetId &worker);

    /** Ends the wait of a task, as a worker has confirmed a run of it. */
    void endWait(JobEntry &job, const TaskRef &ref);

    /** Sets what the record of a task that is being assigned is to give of its wait. */
    void setRecordedWait(StepTask &task) const;

    /** Takes back the suspicion that a task crashes its workers. */
    void clearSuspicion(JobEntry &job, const TaskRef &task);

    /** Adds what the runs of a worker reserve to the load. */
    static void addReserved(DispatchLoad &load, const Worker &worker);

    /** Has a job counted when it passes its late limit. */
    void watchService(const JobEntry &job);
    ServedJob describeService(const JobEntry &job) const;
    /** Counts a job whose end was stored, unless it was counted as overdue. */
    void recordServiceOfEnded(const JobEntry &job);

    /** Counts jobs that have passed their late limits, and logs queues that are served late. */
    void checkQueues(Instant now);

    /** Counts a job if it has passed its late limit.
        @returns whether the job needs no further check */
    bool recordIfOverdue(const JobId &id, Instant now);

    /** Notes that a worker has begun a task of a job. */
    void markStarted(JobEntry &job);

    /** Counts the end of a run. @returns as runEnded() */
    std::uint64_t countEnd(const Worker &worker, JobEntry &job, const Run *run,
                           const ListedEnd &end);

    /** Returns the job of a task; null when the job is unknown or has no such task. */
    JobEntry *findJob(const TaskRef &task);

    /** Makes the task of a run that is no longer alive available for a new start. */
    void requeueTask(const Run &run);

    /** Has the end of a job put on record. */
    void markEndChanged(const JobEntry &job);

    /** Has the progress of a task put on record, and the end of its job if it has ended.
        @returns the number of the change */
    std::uint64_t markTaskChanged(const JobEntry &job, const TaskRef &task);

    /** Has the records removed that a job no longer needs because its end is stored. */
    void removeLaterProgress(const JobEntry &job);

    const Clock &clock;
    const DispatchSettings settings;
    DecisionLog &decisions;
    Listener &listener;
    WorkerManager workerManager;
    EndedWorkerFinder endedWorkers;
    ProgressWriter writer;
    StepJobTable jobTable;
    OwnershipTerm term;
    TakeoverWait takeoverWait;
    DurationEstimator durations;
    FillController fillControl;
    Planner planner;
    bool isActive = false;
    Instant nextHealthCheck {};
    /** Accepted jobs of which no worker has begun a task. */
    std::set<JobId> unstarted;
    /** Jobs to check for whether they have passed their late limits. */
    std::set<JobId> unserved;
    QueueService queueService;
    /** The newest judgement of the queues. */
    std::vector<QueueReport> queueReports;
    Instant nextQueueCheck {};
    /** Of jobMemory(). */
    std::size_t memoryOfOpenJobs = 0;
    WorkerRoster roster;
    /** The starts that wait for the record of their assignment. */
    AssignedStarts assignedStarts;
    /** The long-running tasks that were assigned to each worker when this owner began, until it is
        known what the worker may run of them. */
    std::map<TargetId, std::vector<TaskRef>> formerAssignments;
    /** The change that must be stored before the records of former owners are removed; none while
        they are needed. */
    std::optional<std::uint64_t> changeBeforeRemoval;
    /** Null while no evacuations are followed. */
    const EvacuationRequests *evacuations = nullptr;
    EvacuationGate evacuationGate;
    Instant begunAt {};
    /** When tick() was last called, and when it was first called after a pause of this process. */
    Instant tickedAt {};
    Instant resumedAt {};
    /** The version of the requests that the workers' states follow from. */
    std::uint64_t appliedEvacuations = 0;
    StartBlock reportedBlock = StartBlock::None;
    Instant blockedSince {};
    Instant nextMoves {};
    /** The tasks that were stopped to be moved, and when. */
    std::map<TaskRef, Instant> movingSince;
    std::uint64_t movedTasks = 0;
    bool moveWaitsForCapacity = false;
    ServingConfig serving;
    /** From what the roster was last updated; none before the first time. */
    std::optional<RosterBasis> rosterBasis;
};

} // namespace bulrush
