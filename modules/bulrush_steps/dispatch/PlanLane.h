#pragma once

#include "bulrush_steps/dispatch/PassedOverSteps.h"
#include "bulrush_steps/dispatch/WaitCensus.h"
#include "bulrush_steps/model/StepJobTable.h"
#include "bulrush_steps/policy/JobRank.h"
#include "bulrush_steps/policy/StepPlacement.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace bulrush {

/** A step of a job that has tasks to start. */
struct PlanCandidate
{
    JobEntry *job = nullptr;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    JobRank rank;
    /** For a filling step: the maximum expected number of serving tasks on the chosen worker that
        exceed their tail latency target. */
    double riskAllowed = 0.0;
    /** How long it has waited, as LongestWait::age. */
    Duration age {};
    /** Since when those of its tasks wait that this owner has not started. */
    Instant waitsSince {};
    /** Whether the wait must come to an end. @see isStarving */
    bool starving = false;

    const StepSpec &spec() const { return this->job->spec.steps[this->step]; }
    StepRef ref() const { return { this->job->spec.id, this->occurrence, this->step }; }

    /** Returns how long a task of the step that has no run has waited for one. */
    Duration waitOf(const StepTask &task, Instant now) const
    {
        return now - task.waitsSince.value_or(this->waitsSince);
    }

    /** Returns whether only one task of the step is to be started, and only while none of the job
        runs. */
    bool isForFirstRun() const { return this->starving && !this->spec().runsIndefinitely; }
};

/** The tasks of a step that wait and may start now. */
struct WaitingTasks
{
    std::uint32_t all = 0;
    /** Those that have waited for a given time at least. */
    std::uint32_t longWaiting = 0;
    Duration longestWait {};
};

/** The limits of a PlanLane. */
struct PlanLimits
{
    /** Planning takes at most 1/timeDivisor of the owner's time. */
    int timeDivisor = 1;
    /** A round of planning ends when it has taken this long. */
    milliseconds maxRound { 0 };
    /** How long the steps keep their order before they are ranked anew. */
    milliseconds rankInterval { 0 };
};

/**
    The planning of one kind of steps: those that reserve processors, or those that fill.

    The two kinds do not compete for processors of the workers, so neither waits for the other's
    turn to be planned or for its unanswered start requests.
*/
struct PlanLane
{
    /** Whether the lane plans filling steps. */
    bool fills = false;
    PlanLimits limits;

    /** Jobs that may have tasks to start. */
    std::set<JobId> waiting;
    /** The steps that have tasks to start, in the order of their ranks. */
    std::vector<PlanCandidate> queue;
    /** Of each service, the starving step of a job that ends which has waited longest. Used while
       the steps are ranked. */
    std::map<ServiceId, PlanCandidate> longestStarving;
    /** Position of the next step of the queue to plan. */
    std::size_t next = 0;
    /** Of a lane that fills: its starving steps keep their place in the order until they have been
        passed over for long. */
    PassedOverSteps passedOver;
    /** Steps of the queue for which no worker was found. They rule out steps that need as much or
        more. */
    std::vector<UnplacedStep> unplaced;
    /** The number of steps of the queue that found no worker or were ruled out. */
    std::size_t unplacedCount = 0;
    /** Whether a step of a job that ends found no worker, with the present queue or the former. */
    bool endingUnplaced = false;
    bool endingUnplacedBefore = false;
    /** When starving steps without room may next have some reserved. */
    Instant nextReservations {};
    /** Whether that time has come with the present queue. */
    bool reservesRoom = false;
    /** The long-running tasks of each service that have waited so long that runs may be stopped for
        them, as counted at that time. */
    std::map<ServiceId, std::size_t> overdueTasks;
    /** How often runs to stop may still be searched for with the present queue. */
    std::uint32_t searchesLeft = 0;
    /** The newest census of the steps that wait, and the one under way, if any. */
    WaitCensus census;
    std::optional<WaitCensus> openCensus;
    Instant nextCensus {};
    Instant nextRanking {};
    Instant nextRound {};

    /** Discards all jobs and steps. */
    void clear()
    {
        this->waiting.clear();
        this->queue.clear();
        this->longestStarving.clear();
        this->next = 0;
        this->passedOver.clear();
        this->overdueTasks.clear();
        this->unplaced.clear();
        this->unplacedCount = 0;
        this->endingUnplaced = false;
        this->endingUnplacedBefore = false;
        this->nextReservations = Instant();
        this->census = WaitCensus();
        this->openCensus.reset();
        this->nextCensus = Instant();
        this->nextRanking = Instant();
        this->nextRound = Instant();
    }
};

} // namespace bulrush
