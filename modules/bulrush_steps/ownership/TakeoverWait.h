#pragma once

#include "bulrush_steps/model/StepJobTable.h"
#include "bulrush_steps/ownership/FormerOwners.h"
#include "bulrush_steps/ownership/OwnershipTerm.h"

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bulrush {

class DecisionLog;

/** The numbers of tasks that may not start because of a wait for former owners. */
struct HeldTasks
{
    /** Long-running tasks that wait only for the worker that they are assigned to. */
    std::size_t forOwnWorker = 0;
    /** Tasks that wait for all workers of the roster. */
    std::size_t forAllWorkers = 0;
    /** The workers of the tasks that wait only for their own. */
    std::set<TargetId> ownWorkers;

    std::size_t all() const { return this->forOwnWorker + this->forAllWorkers; }
};

/**
    Determines from when on a new owner may start the tasks of jobs that former owners knew.

    Such a task may run on a worker, or be about to start there, although no worker has listed it.
    A long-running task waits for the worker that is on record as its own, any other task for all
    workers of the former owners' roster: until they have answered or ended, which shows all that
    they run, or until no command of a former owner can take effect any more and no newer owner can
    have renewed the leases that they granted.
*/
class TakeoverWait
{
public:
    /** Describes what waits and why, for the log. */
    struct Observer
    {
        virtual ~Observer() = default;

        /** Returns the numbers of tasks that may not start because of the wait. */
        virtual HeldTasks heldTasks() const = 0;

        /** Called each second with what heldTasks() returns, and with none once the wait is over.
         */
        virtual void tasksHeld(const HeldTasks &held) = 0;

        /** Returns how many of these workers are in which state. */
        virtual std::string statesOf(const std::set<TargetId> &workers) const = 0;

        /** Returns how old the newest list of VMs is that was read; none if none was. */
        virtual std::optional<milliseconds> vmListAge() const = 0;
    };

    TakeoverWait(const Clock &clock, DecisionLog &decisions, Observer &observer);

    /** Starts to wait for the owners and workers on record. */
    void begin(const StepJobTable &table, const OwnershipTerm &term);

    /** Takes into account what is on record of the former owners now. */
    void applyOwnerRecords(const StepJobTable &table);

    /** Notes that all that a worker may run is known: it has answered this owner, or it has ended.
     */
    void workerKnown(const TargetId &worker) { this->unheardWorkers.erase(worker); }

    /** Notes that a former owner sends no more commands.
        @returns the resignation to persist on its behalf */
    Resignation formerOwnerStopped(std::uint64_t fencingToken);

    /** Returns whether all tasks of jobs that former owners knew may start. */
    bool isOver() const;

    /** Returns whether a task that former owners knew must wait, since a run of it may be alive
        unseen. */
    bool holds(const StepSpec &step, const StepTask &task) const;

    /** Returns whether tasks of a step wait only for the workers that they are assigned to. */
    bool usesAssignments(const StepSpec &step) const;

    /** Ends the wait if its time is over, and logs what is waited for, each second, and once that
        the wait is over.
        @param isSoleOwner whether no other node can be the owner; without, the time that has passed
            does not end the wait
        @returns whether the wait has ended since the last call */
    bool update(bool isSoleOwner);

    /** Returns the workers of the former owners' roster that have neither answered nor ended; none
        once the wait is over. */
    const std::set<TargetId> &workersToHearFrom() const { return this->unheardWorkers; }

    /** Returns the former owners that are waited for, with the remaining times. */
    std::vector<UnsettledOwner> remainingWaits() const;

    /** Returns the former owners that are waited for. */
    std::vector<OwnerRecord> awaitedOwners() const;

    /** Returns those of them whose processes are to be asked whether they have stopped. */
    std::vector<OwnerRecord> ownersToAsk() const;

private:
    void report(Instant now);

    const Clock &clock;
    DecisionLog &decisions;
    Observer &observer;
    OwnershipTerm term;
    FormerOwners owners;
    /** The workers that may run tasks of former owners that this owner does not know. */
    std::set<TargetId> unheardWorkers;
    /** Whether all leases that former owners granted were over while no newer owner could have
        renewed them. */
    bool leasesAreOver = false;
    Instant beganAt {};
    Instant nextReportAt {};
    /** Whether the end of the wait is logged. */
    bool ended = false;
};

} // namespace bulrush
