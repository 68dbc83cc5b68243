#pragma once

#include "bulrush_steps/dispatch/PlanLane.h"
#include "bulrush_steps/dispatch/StartReservations.h"
#include "bulrush_steps/model/ServingConfig.h"
#include "bulrush_steps/model/StepJobTable.h"
#include "bulrush_steps/policy/DurationEstimator.h"
#include "bulrush_steps/policy/PressureModel.h"
#include "bulrush_steps/workers/WorkerManager.h"

#include <array>
#include <cstdint>

namespace bulrush {

/** How much there is to plan, and how much was planned. */
struct PlanLoad
{
    /** Jobs that may have tasks to start that reserve processors. */
    std::size_t waitingJobs = 0;
    /** Jobs that may have filling tasks to start. */
    std::size_t waitingFills = 0;
    /** Steps for which the last round of planning found no worker. */
    std::size_t unplacedSteps = 0;
    /** The steps that waited for a worker in the last second, by the reason. */
    WaitCensus waits;
    /** The same of the steps that reserve processors, and of those that fill. */
    WaitCensus reservingWaits;
    WaitCensus fillingWaits;
    /** Workers with room that is kept for starving tasks. */
    std::size_t reservedWorkers = 0;
    /** The reservations of such room since the start of the process. */
    ReservationCounts reservations;
    /** Rounds of planning, their durations by lane, and the starts that they made, since the start
        of the process. */
    std::uint64_t rounds = 0;
    Duration reservingTime {};
    Duration fillingTime {};
    std::uint64_t starts = 0;
    /** Runs that were stopped to make room, since the start of the process. */
    std::uint64_t preemptions = 0;

    /** Returns the duration of all rounds. */
    Duration time() const { return this->reservingTime + this->fillingTime; }
};

/**
    Selects the tasks to start and their workers.

    Plans the steps that reserve processors and those that fill apart from each other.
    @see PlanLane, JobRank, Placement
*/
class Planner
{
public:
    /** Starts the tasks that are selected. */
    struct Listener
    {
        virtual ~Listener() = default;

        /** Returns whether starts may currently be sent. */
        virtual bool maySendStarts() const = 0;

        /** Returns whether tasks of a job may start, as far as mayStart(job, step, task) allows. */
        virtual bool mayStart(const JobEntry &job) const = 0;

        /** Returns whether a task may start: no run of it by a previous owner can be alive unseen.
         */
        virtual bool mayStart(const JobEntry &job, const StepSpec &step,
                              const StepTask &task) const = 0;

        /** Returns the number of a task's next attempt. */
        virtual std::uint64_t nextAttempt(const StepTask &task) const = 0;

        /** Returns the number of starts of filling tasks, or of all others, that were planned and
            are not sent yet. */
        virtual std::uint32_t unsentStarts(bool fills) const = 0;

        /** @param paceLimit see Run::paceLimit
            @param roomReserved see Run::roomReserved */
        virtual void startTask(JobEntry &job, const TaskRef &task, Worker &worker,
                               std::uint64_t attempt, std::uint32_t paceLimit,
                               bool roomReserved) = 0;

        /** Returns whether runs may be stopped to make room: the store takes the records that the
            starts in their place need. */
        virtual bool mayPreempt() const = 0;

        /** Returns how many tasks of a step are being moved to other workers. */
        virtual std::uint32_t movingTasks(const StepRef &step) const = 0;

        /** Stops a run, so that its room is free for a task that has waited too long. */
        virtual void preempt(Worker &worker, const AttemptRef &attempt) = 0;
    };

    Planner(const Clock &clock, StepJobTable &jobs, WorkerManager &workers,
            const DurationEstimator &durations, const PressureModel &pressures, Listener &listener);

    void configure(const ServingConfig &serving) { this->config = serving; }

    /** Considers a job, which may have tasks to start, from now on. */
    void markWaiting(const JobId &job);

    /** Discards all jobs. */
    void clear();

    /** Starts waiting tasks, as far as the limits of planning allow. */
    void tick(Instant now);

    PlanLoad load() const;

    /** Returns whether a task that ends found no worker when the steps were last planned. */
    bool endingTasksWait() const;

    /** Reserves free room that no other reservation needs for a task that has a run, so that it can
        be moved. @returns false when there is none */
    bool reserveForMove(JobEntry &job, const TaskRef &task, Instant now);

private:
    void plan(PlanLane &lane, Instant now);
    void planRound(PlanLane &lane, Instant now);
    void planCandidate(PlanLane &lane, const PlanCandidate &candidate, Instant now);

    /** Ends the census that is under way, and begins the next when it is due. Called before the
       queue is ranked anew. */
    void turnCensus(PlanLane &lane, Instant now);

    /** Adds to the census of a lane what its longest wait is for. */
    void describeLongestWait(PlanLane &lane, Instant now) const;

    /** Counts a step that no worker was found for, if a census is under way.
        @returns the reason; that of the census is computed only then */
    WaitReason countUnplaced(PlanLane &lane, const PlanCandidate &candidate, Instant now);
    bool planStep(const PlanLane &lane, const PlanCandidate &candidate, Instant now);

    /** Returns the tasks of a step that are to be started and may start now; of a long-running step
        that is starving, those that have yielded for long enough, the longest wait first. */
    std::vector<std::uint32_t> tasksToStart(const PlanCandidate &candidate, Instant now) const;
    std::vector<std::uint32_t> longestWaiting(const PlanCandidate &candidate, Instant now) const;

    /** Counts the tasks of a step that wait and may start now.
        @param longWait see WaitingTasks::longWaiting */
    WaitingTasks waitingTasks(const PlanCandidate &candidate, Duration longWait, Instant now) const;

    /** Returns whether any task of an occurrence runs. */
    static bool hasRuns(const JobEntry &job, std::uint32_t occurrence);

    /** Has room kept for the tasks of a starving step that found none. */
    void reserveRoom(PlanLane &lane, const PlanCandidate &candidate, Instant now);

    /** Has runs stopped to make room for those tasks of a starving long-running step that have
        waited too long. @see Preemption */
    void makeRoom(PlanLane &lane, const PlanCandidate &candidate, Instant now);

    /** Counts the tasks for which runs may be stopped, when room may be reserved for them. */
    void countOverdue(PlanLane &lane, Instant now) const;

    /** Returns for how many more tasks of a service runs may be stopped now. */
    std::size_t preemptionsAllowed(const PlanLane &lane, const ServiceId &service) const;

    /** Returns whether all tasks of a service that wait for a turn can have it in time. */
    bool turnsComeInTime(const PlanLane &lane, const ServiceId &service) const;

    /** Gives up reservations that are not needed any more. */
    void sweepReservations(Instant now);

    /** Adds a starving step to the queue, ahead of its place by rank. */
    void addStarving(PlanLane &lane, PlanCandidate candidate, const JobRank &rank, Instant now);

    /** Returns whether a task of a starving job that ends could start. */
    bool mayTakeTurn(const PlanCandidate &candidate, Instant now) const;

    /** Returns whether a worker that takes starts could run a task of a step when empty. */
    bool fitsAnyWorker(const PlanCandidate &candidate) const;

    /** Notes that a step found no worker, if its tasks end and fit one. */
    void noteEndingUnplaced(PlanLane &lane, const PlanCandidate &candidate) const;

    /** Returns whether a job has had the turn of a service for a time without a start. */
    bool hadTurnInVain(const PlanCandidate &candidate, const ServiceId &service, Instant now) const;

    /** Adds the starving jobs that end whose turn it is to the queue. */
    void giveTurns(PlanLane &lane, Instant now);

    /** Notes whether room may be reserved with the queue that is about to be ranked. */
    static void turnReservations(PlanLane &lane, Instant now);

    /** Returns whether a run of a service that a starving job was started with is still alive. */
    bool hasFirstRun(const ServiceId &service);
    bool planGang(const PlanCandidate &candidate, Instant now);
    bool mayStartMore(const PlanLane &lane) const;

    /** Returns whether another task of a step may be assigned, if its assignments are recorded. */
    bool mayAssignMore(const PlanLane &lane, const StepSpec &step) const;
    void rankWaiting(PlanLane &lane, Instant now);

    /** Adds the steps of a job that have tasks to start to the queue of a lane.
        @returns whether the job has such a step, or an occurrence that is not due yet */
    bool addCandidates(PlanLane &lane, JobEntry &job, Instant now);

    /** Adds a step to the queue of a lane.
        @param described the job and occurrence that it belongs to */
    void addCandidate(PlanLane &lane, WaitingJob described, PlanCandidate candidate, Instant now);

    /** Returns the steps of an occurrence that a lane plans, that may start and that have tasks to
        start. */
    static std::vector<std::uint32_t> openSteps(const PlanLane &lane, const JobEntry &job,
                                                std::uint32_t occurrence);

    WaitingJob describeWaiting(const PlanLane &lane, const JobEntry &job,
                               std::uint32_t occurrence) const;

    /** Returns the share of the tasks of an occurrence that neither run nor have succeeded. */
    static double unstartedShare(const JobEntry &job, std::uint32_t occurrence);

    /** Returns the service whose workers run a job, by the configuration in force. */
    ServiceId serviceOf(const JobEntry &job) const;
    TaskRequest makeTaskRequest(const PlanCandidate &candidate) const;
    void start(JobEntry &job, const TaskRef &task, Worker &worker, std::uint64_t attempt,
               std::uint32_t paceLimit = fullPace);

    const Clock &clock;
    StepJobTable &jobs;
    WorkerManager &workers;
    const DurationEstimator &durations;
    const PressureModel &pressures;
    Listener &listener;
    ServingConfig config;
    /** The planning of the steps that reserve processors, then of those that fill. */
    std::array<PlanLane, 2> lanes;
    StartReservations reservations;
    /** Of each service, the newest run that reserves processors and with which a starving job that
        ends was started. */
    std::map<ServiceId, AttemptRef> firstRuns;
    /** The starving job that ends of each service that had the last turn, and since when. */
    struct Turn
    {
        JobId job;
        Instant since {};
    };
    std::map<ServiceId, Turn> turns;
    /** Until when no runs to stop are searched for, of each step for which none were found. */
    std::map<StepRef, Instant> searchPauses;
    Instant nextSweep {};
    /** Of load(): rounds, time and starts. */
    PlanLoad counters;
};

} // namespace bulrush
