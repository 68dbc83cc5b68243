#pragma once

#include "bulrush_steps/dispatch/ReservationCounts.h"
#include "bulrush_steps/policy/Placement.h"
#include "bulrush_steps/workers/WorkerManager.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace bulrush {

/**
    Keeps the room that comes free on some workers for tasks that need more than is free on any.

    Without it, smaller tasks take each part that comes free, and a large task never starts on a
   full service (backfilling with reservations). A reservation excludes only those tasks from a
   worker that would not fit beside the one that it is made for. While the room is not complete
   and no run is being stopped for it, overdue long-running tasks pass it, unless it is exclusive.

    @see Worker::reservation, Placement
*/
class StartReservations
{
public:
    explicit StartReservations(WorkerManager &workerManager)
        : workers(workerManager)
    {
    }

    /** Returns the number of workers with room reserved for a step. */
    std::uint32_t countOf(const StepRef &step) const
    {
        const auto found = this->counts.find(step);
        return found == this->counts.end() ? 0 : found->second;
    }

    /** Returns the number of workers with reserved room. */
    std::size_t size() const { return this->reserved.size(); }

    /** Makes up to a number of reservations for tasks of a step, on the workers on which room is
        expected first. A quarter of the workers of a service may have one, and more for a gang.
       Workers that have no room before long-running tasks end are left out.
        @param waited how long the step has waited: overdue tasks do not pass one that has waited
        much longer than they may, on a few workers */
    void reserve(const TaskRequest &request, std::uint32_t tasks, Duration waited, Instant now);

    /** Reserves room for a task of a step on a worker that has none reserved for another step. */
    void reserveOn(Worker &worker, const StepRef &step, const ResourceVector &size, Instant now);

    /** Returns the number of workers with room reserved for a step on which its task can soon
       start.
        @see Preemption::willSoonHaveRoom */
    std::uint32_t securedCountOf(const StepRef &step, Instant now) const;

    /** Notes that a task of a step was started on a worker.
        @returns whether the worker had room reserved for the step */
    bool started(const StepRef &step, Worker &worker);

    /** Returns when a worker is expected to have room for a task of a step, by the ends of its runs
        and whatever is reserved; none if none is. */
    std::optional<Instant> roomExpectedAt(const TaskRequest &request, Instant now) const;

    /** Returns how many reservations were made, and what became of them. */
    const ReservationCounts &outcomes() const { return this->totals; }

    /** Gives up the reservations that have lapsed, those on workers that take no starts any more,
       and those for steps that need fewer.
        @param needed returns the number of tasks of a step that wait */
    void sweep(Instant now, const std::function<std::uint32_t(const StepRef &)> &needed);

    /** Gives up all reservations. */
    void clear();

private:
    /** Returns how many more workers of a service may have a reservation. */
    std::size_t available(const ServiceId &service) const;

    /** Returns how many more workers of a service may have an exclusive reservation. */
    std::size_t availableExclusive(const ServiceId &service) const;

    /** Counts a reservation of a step less. */
    void uncount(const StepRef &step);

    WorkerManager &workers;
    /** The workers that have a reservation, each with the step that it is made for. */
    std::map<TargetId, StepRef> reserved;
    /** The number of reservations of each step that has any. */
    std::map<StepRef, std::uint32_t> counts;
    ReservationCounts totals;
};

} // namespace bulrush
