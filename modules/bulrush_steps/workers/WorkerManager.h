#pragma once

#include "bulrush_steps/dispatch/DispatchSettings.h"
#include "bulrush_steps/policy/CrashSuspects.h"
#include "bulrush_steps/workers/CommandTokens.h"
#include "bulrush_steps/workers/FirstRenewals.h"
#include "bulrush_steps/workers/LapsedRunCounts.h"
#include "bulrush_steps/workers/StartWindow.h"
#include "bulrush_steps/workers/Worker.h"
#include "bulrush_steps/workers/WorkerProcessCounts.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace bulrush {

class DecisionLog;

/**
    Manages the workers of an owner: renews leases, tracks current and ended runs, sends commands,
    and reports when a run can no longer be alive.
*/
class WorkerManager
{
public:
    /** Receives reports of workers, and provides the state of the ownership and of the records. */
    struct Listener
    {
        virtual ~Listener() = default;

        /** Called for a run that a worker lists but this manager did not start.
            @returns the run to track, marked to be stopped if necessary */
        virtual Run adoptRun(const Worker &worker, const ListedRun &listed) = 0;

        /** Called when a worker has confirmed a run that this manager started. */
        virtual void runConfirmed(const Run &run) = 0;

        /** Called once for each ended run that a worker lists.
            @param run null if it was not tracked
            @returns the number of the change that persists the result */
        virtual std::uint64_t runEnded(const Worker &worker, const Run *run,
                                       const ListedEnd &end) = 0;

        /** Called when a run is known to be no longer alive without being listed as ended. */
        virtual void runLost(const Worker &worker, const Run &run, std::string_view reason) = 0;

        /** Called for each run that was on a worker whose process crashed, before runLost() if that
            was not called earlier.
            @param sign what the crash says about the run's task
            @param evidence what shows the crash */
        virtual void runCrashed(const Worker &worker, const Run &run, CrashSign sign,
                                std::string_view evidence) = 0;

        /** Called when a worker refused to start a run. The run is not alive. */
        virtual void startRefused(const Worker &worker, const Run &run, CommandOutcome outcome) = 0;

        /** Called when all that a worker may run of former owners is known: it has listed all its
            current and ended runs, it has left, or its process has ended. May be called again. */
        virtual void workerKnown(const TargetId &worker) = 0;

        /** Called when a worker rejected a command because it has seen a higher fencing token. */
        virtual void superseded(const Worker &worker) = 0;

        /** Returns the number up to which all changes of the records are stored. */
        virtual std::uint64_t storedChange() const = 0;

        /** Returns whether commands may currently be sent. */
        virtual bool mayCommand() const = 0;

        /** Returns whether leases may be renewed. */
        virtual bool mayRenewLeases() const = 0;

        /** Returns whether no other node can have renewed a lease that this owner did not renew. */
        virtual bool isSoleOwner() const = 0;
    };

    WorkerManager(const Clock &clock, WorkerCommands &port, const DispatchSettings &settings,
                  DecisionLog &decisions, Listener &listener);
    ~WorkerManager();

    WorkerManager(const WorkerManager &) = delete;
    WorkerManager &operator=(const WorkerManager &) = delete;

    /** Starts with a fencing token that is higher than that of any previous owner.
        @param gainedAt when this node became the owner */
    void begin(std::uint64_t fencingToken, Instant gainedAt);

    /** Removes all workers. Answers that arrive later are ignored. */
    void end();

    /** Adds or updates a worker from its entry in the platform's worker list. */
    void workerListed(const WorkerEntry &entry);

    /** Marks a worker as removed from the platform's worker list.
        @param cause what the removal tells of the worker */
    void workerUnlisted(const TargetId &worker, RemovalCause cause);

    /** Sends the hold and stop requests that are due, drops runs of workers that have left or whose
        lease has expired, and removes unlisted workers that have no runs. */
    void tick();

    /** Assigns a run to a worker: reserves the resources of a run whose start request is to follow,
       which counts as in flight already. The run cannot be alive before startAssigned(). */
    void assign(Worker &worker, Run run);

    /** Gives up a start request that was to follow. @returns the run, if the worker still has it */
    static std::optional<Run> cancelAssigned(Worker &worker, const AttemptRef &attempt);

    /** Sends the start request of an assigned run. It counts as alive from this call on. */
    void startAssigned(Worker &worker, Run &run, const StepJob &job, std::string checkpoint);

    /** Marks a run to be stopped and sends the stop request as soon as the worker has the run. */
    void requestStop(Worker &worker, Run &run);

    /** Returns the workers that have reported their runs since the last call. */
    std::set<TargetId> takeReported() { return std::exchange(this->reported, {}); }

    /** Returns the workers that did not answer their last hold request. */
    const std::set<TargetId> &silentWorkers() const { return this->silent; }

    /** Reports the runs of a worker whose process has ended as crashed, unless it was shutting
       down, and gives them up, except for starts without an answer. */
    void workerEnded(const TargetId &worker);

    /** Returns a number that changes whenever a worker is added or removed, or answers for the
       first time. */
    std::uint64_t membershipVersion() const { return this->membershipChanges; }

    /** Excludes a worker from the placement of new tasks for a time. */
    void suspendPlacement(Worker &worker, milliseconds span, std::string_view reason);

    /** Sets the share of processor time that a run may use. */
    void pace(Worker &worker, Run &run, std::uint32_t percent);

    const WorkerProcessCounts &processCounts() const { return this->processEvents; }
    const LapsedRunCounts &lapsedRunCounts() const { return this->lapsedRuns; }

    /** Returns the window of the start requests of filling tasks, or of all others. */
    const StartWindow &startWindow(bool fills) const
    {
        return fills ? this->fillStarts : this->reservingStarts;
    }

    std::map<TargetId, Worker> &workers() { return this->workerTable; }
    const std::map<TargetId, Worker> &workers() const { return this->workerTable; }
    Worker *find(const TargetId &worker);

    /** Calls a function for each run of a job that may be alive. */
    void forEachRun(const JobId &job, const std::function<void(Worker &, Run &)> &visit);

private:
    /** A start or stop request that was sent. */
    struct SentCommand
    {
        AttemptRef attempt;
        std::uint64_t token = 0;
        Instant sentAt {};
    };

    /** Checks all workers, and removes those that are unlisted and have no runs. */
    void checkAll();

    /** Sends the hold and stop requests to a worker that are due. */
    void check(Worker &worker);

    /** Has the next tick check a worker, before the next check of all workers. */
    void checkSoon(const Worker &worker) { this->workersToCheck.push_back(worker.entry.worker); }
    void sendHold(Worker &worker);
    void handleHoldAnswer(const TargetId &id, std::uint64_t number, Instant sentAt,
                          std::uint64_t acknowledged, const HoldAnswer &answer);
    void handleHoldFailure(Worker &worker, CommandOutcome outcome);

    /** Has all further commands to a worker carry a new token, and asks the worker at once which
        process takes them. Called when that may be another process than before: nothing is started
        there until the worker has answered. */
    void takeNewToken(Worker &worker);

    /** Bounds the leases that a worker's process may have from commands that were not made for it.
        @param answersNewToken whether the process has answered a token that no such command has, so
            that it takes no more of them */
    void boundForeignLeases(Worker &worker, bool answersNewToken);
    void processEndedRuns(Worker &worker, const HoldAnswer &answer);
    void countLapsedRun();
    void processRuns(Worker &worker, const HoldAnswer &answer, Instant sentAt);
    void processListedRun(Worker &worker, const ListedRun &listed);

    /** Gives up the runs that a worker had when a report was requested and that the report does not
        list, unless it may have left out their ends. */
    void processUnlistedRuns(Worker &worker, bool listsAllEnds, Instant sentAt);
    void handleWorkerRestart(Worker &worker, UnixMillis processStartedAt);
    void handleStartAnswer(const TargetId &id, const SentCommand &command,
                           const CommandAnswer &answer);

    /** @param processKnown whether the process that the worker is known to have answered */
    void confirmStart(Worker &worker, Run &run, bool processKnown);
    /** Returns whether the refusal of a command's token shows a newer owner, rather than that the
        worker has seen a newer token of this one. */
    bool isSuperseded(const Worker &worker, const SentCommand &refused);

    /** Takes a new token if the clock of an answer shows that another process of the worker made it
        than the one that is known.
        @returns whether it does */
    bool noticeOtherProcess(Worker &worker, const AttemptRef &attempt, Instant sentAt,
                            const CommandAnswer &answer);
    void handleStopAnswer(const TargetId &id, const SentCommand &command,
                          const CommandAnswer &answer);
    void sendStops(Worker &worker);
    void sendStop(Worker &worker, Run &run);
    void dropExpiredRuns(Worker &worker);

    /** Returns when a run on a silent worker has ended for certain, or can no longer begin.
        @param leaseExpiredAt when the leases of the worker's known process are over */
    Instant expiryOf(const Worker &worker, const Run &run, Instant leaseExpiredAt) const;
    void reportLeaseExpired(const Worker &worker, const std::vector<Run> &expired);
    /** Gives up the runs that a worker had before its process ended. Starts without an answer are
        kept until their lease is over: a later process of the worker may still carry them out. */
    void dropRunsOfEndedProcess(Worker &worker, std::string_view reason);
    void handleDeparture(Worker &worker);

    /** Returns the runs of a silent worker that its crash may have ended although their lease has
        expired since, and forgets them. */
    std::vector<Run> takeRunsExpiredOfLate(Worker &worker) const;

    /** Reports the runs that a worker's previous process had.
        @param sentAt when the request was sent that the new process answered */
    void reportRestart(Worker &worker, Instant sentAt, const HoldAnswer &answer);
    void reportCrash(Worker &worker, const std::vector<Run> &runs, std::string_view evidence);
    std::optional<WorkerMillis> leaseEnd(Worker &worker);
    milliseconds holdWait(const Worker &worker) const;
    bool holdIsDue(const Worker &worker, Instant now) const;

    const Clock &clock;
    WorkerCommands &port;
    const DispatchSettings settings;
    DecisionLog &decisions;
    Listener &listener;
    CommandTokens commandTokens;
    /** The number of the last hold request. No two workers share one, nor do a worker that was
       removed and the same one added again. */
    std::uint64_t lastHoldNumber = 0;
    std::map<TargetId, Worker> workerTable;
    /** The number of times that a worker was added or removed, or answered for the first time. */
    std::uint64_t membershipChanges = 0;
    /** The workers that the next tick checks. */
    std::vector<TargetId> workersToCheck;
    Instant nextCheckOfAll {};
    /** The workers whose last hold request failed. */
    std::set<TargetId> silent;
    /** The workers that have reported since takeReported() was last called. */
    std::set<TargetId> reported;
    WorkerProcessCounts processEvents;
    LapsedRunCounts lapsedRuns;
    /** The same when this ownership began. */
    LapsedRunCounts lapsedBefore;
    FirstRenewals firstRenewals;
    StartWindow reservingStarts;
    StartWindow fillStarts;
    /** Shared with the callbacks of requests; set to false by end() and on destruction, so that
        late answers are ignored. */
    std::shared_ptr<bool> alive;
};

} // namespace bulrush
