#pragma once

#include "bulrush_evacuation/cold/ColdStartLimit.h"
#include "bulrush_steps/ports/WorkerCommands.h"
#include "bulrush_steps/ports/WorkerEntry.h"
#include "bulrush_steps/workers/LeaseClock.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace bulrush {

/** The known phase of an attempt. */
enum class RunPhase : std::uint8_t {
    /** The start request is not sent yet: the record of the assignment is being stored. */
    Assigned,
    /** The start request was sent and is not yet answered. */
    Starting,
    /** The worker has confirmed the run, or that it stopped it. A run in this phase that a later
        report does not list is no longer alive. */
    Running,
    /** The start request was not answered: the run may be alive or may still start. */
    Unconfirmed,
};

/** The pace of a run that may use all the processor time that it demands, in percent. */
inline constexpr std::uint32_t fullPace = 100;

/** One attempt that may be alive on a worker. */
struct Run
{
    AttemptRef attempt;
    ResourceVector size;
    RunPhase phase = RunPhase::Starting;
    /** For a filling task: the processors that it requests but does not reserve, in thousandths; 0
        for other tasks. */
    std::int64_t fillCpuMilli = 0;
    bool runsIndefinitely = false;
    /** Whether the start was not answered by a process of the worker that is known, so that a later
        process may have the run or may still take the start. */
    bool processUnknown = true;
    /** Whether an earlier owner started it, so that startSentAt is when this owner found it. */
    bool found = false;
    /** Whether room was reserved for the task's step when its worker was chosen. */
    bool roomReserved = false;
    /** Whether it may be stopped to make room, as far as its step allows it. @see Preemption */
    bool preemptible = false;
    /** Whether the worker was slow after its start when the run was sent to it. */
    bool startedCold = false;
    /** Since when the task has had its room on the worker, as far as this owner knows. */
    Instant placedAt {};
    /** Whether a later run can resume from a checkpoint of this one. */
    bool resumable = false;
    /** Set by Worker::requestStop() once the worker has the run. */
    bool stopRequested = false;
    bool commandInFlight = false;
    Instant startSentAt {};
    /** When the worker confirmed the run, by its answer to the start or by listing it. Set anew
        when a later report must tell whether the run is alive. */
    Instant confirmedAt {};
    /** The number of the last report that listed the run. */
    std::uint64_t listedInReport = 0;
    /** Whether the last report neither listed the run nor listed all ended runs. */
    bool mayHaveEnded = false;
    std::uint32_t progressPercent = 0;
    /** When the run was confirmed, its percentage last changed or a pace was last requested,
        whichever is the latest. */
    Instant progressedAt {};
    /** As last reported by the worker; see ListedRun::load. */
    double load = 0.0;
    milliseconds tailTarget { 0 };
    /** Last requested share of processor time. */
    std::uint32_t pacePercent = fullPace;
    /** While that is zero: since when. */
    Instant pausedAt {};
    /** The share of processor time that the run may use while no serving task requires less. */
    std::uint32_t paceLimit = fullPace;
    std::string image;
    /** Whether this owner has set the pace. The pace of a run that was found is not known before.
     */
    bool paceSent = false;
    /** Expected duration of the run on a healthy worker; an estimate. */
    milliseconds expected { 0 };

    bool isLimited() const { return this->paceLimit < fullPace; }

    /** Returns the processors that a filling run may use at its pace limit, in thousandths. */
    std::int64_t fillDemandMilli() const { return this->fillCpuMilli * this->paceLimit / fullPace; }
};

/** The expected pressure on a serving run. @see PressureModel::servingPressures */
struct ServingPressure
{
    /** The run's image, as numbered by PressureModel; none when the model does not know it. */
    std::optional<std::size_t> image;
    double expected = 0.0;
    double standardDeviation = 0.0;
    /** The pressure at which the run's tail latency equals its target. */
    double atTarget = 0.0;
};

/** Room on a worker that is kept for a task of one step. @see StartReservations */
struct StartReservation
{
    StepRef step;
    /** What the task reserves. */
    ResourceVector size;
    /** When the reservation is given up if the task was not started. */
    Instant lapsesAt {};
    /** Whether it keeps out overdue tasks also before it has its room: it is for a gang, or for a
        task that has waited much longer than it may. */
    bool exclusive = false;
    /** Whether runs were stopped to make its room, which no overdue task takes meanwhile. */
    bool keepsFreedRoom = false;
};

/** A worker and its state as known to the owner. */
struct Worker
{
    WorkerEntry entry;
    WorkerAddress address;
    std::string rack;
    /** Whether the platform's worker list contains it. */
    bool listed = true;
    /** Whether the process that last answered has announced its shutdown. */
    bool shutdownAnnounced = false;
    /** Whether it has removed its entry from that list itself. */
    bool deregistered = false;
    /** Whether its process is known: it has answered a hold with the present command token. */
    bool confirmed = false;
    /** The fencing token of commands to it. A process that has answered one refuses what was sent
        with lower ones, to a former process or by this owner's predecessors.
        @see WorkerManager::takeNewToken */
    std::uint64_t commandToken = 0;
    /** Whether its process may have taken commands that were made for a former process or by a
       former owner, since it has not answered the present command token. */
    bool mayHaveForeignLease = true;
    /** Whether its process is known to have ended, and no later one is known. */
    bool processEnded = false;
    /** Whether it has ever answered under this owner's fencing token. */
    bool adopted = false;
    /** Whether its data centre is being evacuated, so that nothing more is started on it. */
    bool evacuated = false;
    /** Until when it is slow after its start, and how many starts it takes until then. */
    ColdStartLimit coldStarts;
    /** Whether the persisted roster lists it as a worker that may hold tasks. */
    bool onRoster = false;
    LeaseClock clock;
    UnixMillis processStartedAt = 0;
    /** When the last command was sent that grants or renews a lease. */
    Instant leaseSentAt {};
    /** Whether the last hold was to renew the lease. */
    bool holdRenews = false;
    /** When the first hold was sent that this owner knows to have renewed the lease. */
    std::optional<Instant> firstRenewalAt;

    bool holdInFlight = false;
    std::uint64_t holdNumber = 0;
    Instant nextHoldAt {};
    /** When it last reported its runs. */
    Instant reportedAt {};

    /** Number of the last ended run that was processed. */
    std::uint64_t processedEnds = 0;
    /** Number of the change that must be stored before these ended runs may be acknowledged. */
    std::uint64_t processedChange = 0;
    /** Number of the last ended run whose acknowledgement the worker has received. */
    std::uint64_t acknowledgedEnds = 0;
    std::uint32_t failedHolds = 0;
    /** When the first of them failed; none while the worker answers. */
    std::optional<Instant> silentSince;
    /** Runs whose lease has expired while the worker was silent, until it is known whether the
        worker crashed. */
    std::vector<Run> runsExpiredInSilence;
    /** When the last of them expired. */
    Instant runsExpiredAt {};

    /** Changed through addRun(), removeRun(), clearRuns() and requestStop(), which keep the sums
        below. */
    std::map<AttemptRef, Run> runs;
    /** Sum of the resources reserved by all runs. Filling tasks reserve no processors. */
    ResourceVector committed;
    /** Sum of the processors that filling tasks request, in thousandths. */
    std::int64_t fillDemandMilli = 0;
    /** The number of runs that are to be stopped. */
    std::uint32_t stopRequests = 0;
    /** The number of runs below full pace because they were started beyond the limits that protect
        serving tasks. */
    std::uint32_t limitedRuns = 0;
    /** Estimate of the processors available to filling tasks, in thousandths. */
    double availableFillCpuMilli = 0.0;
    /** The pressure on its serving runs, kept between placements; empty when it must be computed.
     */
    std::optional<std::vector<ServingPressure>> servingPressures;
    /** The moment for which servingPressures was computed. */
    Instant servingPressuresAt {};
    std::uint32_t commandsInFlight = 0;
    /** Receives no new tasks before this moment, because it refused or did not answer a start, or
        because runs on it failed, stalled or were slow. */
    Instant avoidUntil {};
    /** The newest run of a suspected task that was started apart here. @see CrashSuspects */
    std::optional<AttemptRef> apartRun;
    Instant apartRunSentAt {};
    /** Receives no filling tasks before this moment, because a serving task exceeded its
        tail latency target. */
    Instant fillsBlockedUntil {};
    /** The room that is kept for one task, as soon as it is free; none if none is. */
    std::optional<StartReservation> reservation;
    /** Moving average of the share of failed runs, 0 to 1. */
    double failureShare = 0.0;
    /** Failed runs since the last successful one. */
    std::uint32_t consecutiveFailures = 0;

    /** Adds a run and counts its demands. */
    void addRun(Run run)
    {
        this->committed += run.size;
        this->fillDemandMilli += run.fillDemandMilli();
        this->limitedRuns += run.isLimited() ? 1 : 0;
        this->stopRequests += run.stopRequested ? 1 : 0;
        this->servingPressures.reset();
        const AttemptRef attempt = run.attempt;
        this->runs.emplace(attempt, std::move(run));
    }

    /** Removes a run, if there is one, and its demands. */
    void removeRun(const AttemptRef &attempt)
    {
        const auto found = this->runs.find(attempt);
        if (found == this->runs.end()) {
            return;
        }
        this->committed -= found->second.size;
        this->fillDemandMilli -= found->second.fillDemandMilli();
        this->limitedRuns -= found->second.isLimited() ? 1 : 0;
        this->stopRequests -= found->second.stopRequested ? 1 : 0;
        this->servingPressures.reset();
        this->runs.erase(found);
    }

    /** Removes and returns all runs. */
    std::map<AttemptRef, Run> clearRuns()
    {
        this->committed = ResourceVector();
        this->fillDemandMilli = 0;
        this->limitedRuns = 0;
        this->stopRequests = 0;
        this->servingPressures.reset();
        return std::exchange(this->runs, {});
    }

    /** Lets a run of this worker use all the processor time that it demands. */
    void liftPaceLimit(Run &run)
    {
        this->fillDemandMilli -= run.fillDemandMilli();
        this->limitedRuns -= run.isLimited() ? 1 : 0;
        run.paceLimit = fullPace;
        this->fillDemandMilli += run.fillDemandMilli();
    }

    /** Marks a run of this worker to be stopped. */
    void requestStop(Run &run)
    {
        this->stopRequests += run.stopRequested ? 0 : 1;
        run.stopRequested = true;
    }

    /** Returns whether a start request may be sent to it. */
    bool takesStarts() const { return !this->evacuated && this->isInService(); }

    /** Returns whether a start request may be sent to it unless its data centre is evacuated. */
    bool isInService() const
    {
        return this->listed && !this->entry.draining && this->confirmed && this->onRoster
                && this->isDescribed();
    }

    /** Returns whether its entry is of the process that answers, which may be of another kind and
        size than a former one. */
    bool isDescribed() const { return this->entry.processStartedAt == this->processStartedAt; }

    /** Returns whether its process has ended as announced: it reported that it was shutting down,
        withdrew its entry, and does not answer. */
    bool hasLeft() const
    {
        return this->deregistered && this->entry.draining && !this->confirmed
                && this->failedHolds > 0;
    }

    /** Returns a number of processors, in thousandths, as a share of the worker's processors. */
    double shareOf(double cpuMilli) const
    {
        return cpuMilli
                / static_cast<double>(std::max<std::int64_t>(1, this->entry.capacity.cpuMilli));
    }

    /** Returns the capacity that no run has reserved. */
    ResourceVector free() const
    {
        ResourceVector room = this->entry.capacity;
        room -= this->committed;
        return room;
    }

    /** Returns whether a task of a step has the room that it reserves, beside the task that room is
        kept for if that is of another step.
        @param overdue whether the task has waited so long that it may go before one that lacks room
        here still */
    bool hasRoomFor(const StepRef &step, const ResourceVector &size, bool overdue = false) const
    {
        if (!this->reservation || this->reservation->step == step
            || (overdue && this->mayPassReservation())) {
            return size.fitsInto(this->free());
        }
        return size.fitsBeside(this->reservation->size, this->free());
    }

    /** Returns whether the task that room is kept for lacks room, and no run is being stopped that
        may give it some. */
    bool mayPassReservation() const
    {
        return !this->reservation->exclusive && !this->reservation->keepsFreedRoom
                && this->stopRequests == 0 && !this->reservation->size.fitsInto(this->free());
    }
};

} // namespace bulrush
