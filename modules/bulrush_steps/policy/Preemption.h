#pragma once

#include "bulrush_steps/policy/Placement.h"

#include <map>
#include <optional>
#include <vector>

namespace bulrush {

/** The runs to stop on a worker so that it has room for a task. */
struct PreemptionChoice
{
    Worker *worker = nullptr;
    std::vector<AttemptRef> victims;
};

/**
    Chooses the runs that give their room to a long-running task that has waited too long, where the
    runs that end by themselves will not give it enough.

    The victims do not end by themselves: they are long-running runs that have kept their room for
    some time, so that tasks which do not all fit take turns, and filling runs that have been paused
    for some time. Members of gangs, and tasks of steps that limit how many may be away, are left
    alone. It prefers to stop few runs, none that reserves more processors than the task, and those
    that have had their room longest.

    @see StartReservations
*/
class Preemption
{
public:
    explicit Preemption(Instant now)
        : now(now)
    {
    }

    /** Returns whether a step's tasks may have runs stopped for them: they are long-running and can
        start one by one. */
    static bool isAllowedFor(const StepSpec &step) { return step.runsIndefinitely && !step.gang; }

    /** Returns the worker and the runs to stop there; none when no worker can be given the room.
        Leaves out the workers with room reserved for other steps, and those on which enough room is
        reserved for this one and will soon be free. */
    std::optional<PreemptionChoice> choose(std::map<TargetId, Worker> &workers,
                                           const TaskRequest &request) const;

    /** Returns whether a task of a size can soon start on a worker without further stops. */
    static bool willSoonHaveRoom(const Worker &worker, const ResourceVector &size, Instant now);

private:
    /** The victims on one worker, and what speaks against them. */
    struct Option
    {
        PreemptionChoice choice;
        bool stopsLargerRun = false;
        /** When the victim that has had its room for the shortest time got it. */
        Instant newestTurn {};

        bool isBetterThan(const Option &other) const;
    };

    bool isCandidate(const Worker &worker, const TaskRequest &request) const;
    bool isVictim(const Run &run) const;

    /** Returns the possible victims on a worker, those to be stopped first first. */
    std::vector<const Run *> victimsOn(const Worker &worker, const ResourceVector &size,
                                       const ResourceVector &room) const;
    std::optional<Option> optionOn(Worker &worker, const TaskRequest &request) const;

    Instant now;
};

} // namespace bulrush
