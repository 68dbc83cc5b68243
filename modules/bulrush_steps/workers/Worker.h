#pragma once

#include "bulrush_steps/ports/WorkerEntry.h"
#include "bulrush_steps/ports/WorkerOrders.h"
#include "bulrush_steps/workers/LeaseClock.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace bulrush {

/** How far an attempt has come, as far as is known. */
enum class RunPhase : std::uint8_t {
    /** The start was sent and not answered yet. */
    Starting,
    /** The worker has confirmed it. */
    Running,
    /** The start got no answer: it may run, or start later. */
    Unsure,
};

/** One attempt that may be alive on a worker. */
struct Run
{
    AttemptRef attempt;
    Room size;
    RunPhase phase = RunPhase::Starting;
    /** Processors that a filling task asks for; its size reserves none. */
    std::int64_t fillCpuMilli = 0;
    bool lasting = false;
    /** Whether another run can go on from where it was stopped. */
    bool resumes = false;
    bool stopWanted = false;
    bool orderInFlight = false;
    Instant orderSentAt {};
    /** When the start was answered. */
    Instant confirmedAt {};
    std::uint32_t percent = 0;
    /** When the percentage last rose. */
    Instant progressedAt {};
    double load = 0.0;
    milliseconds tailTarget { 0 };
    /** The share of processor time that it was told to work at. */
    std::uint32_t pacePercent = 100;
    std::string image;
    /** How long one run takes on a sound worker, as far as known. */
    milliseconds expected { 0 };
};

/** A worker and all that the owner knows of it. */
struct Worker
{
    WorkerEntry entry;
    WorkerAddress address;
    std::string rack;
    /** Whether the platform's list holds it. */
    bool listed = true;
    /** Whether it has answered under this owner's fencing token since its last trouble. */
    bool confirmed = false;
    /** Whether it has ever answered under this owner's fencing token. */
    bool adopted = false;
    /** Whether its name is on record as one that may hold tasks. */
    bool onRoster = false;
    LeaseClock clock;
    UnixMillis bornAt = 0;

    bool holdInFlight = false;
    std::uint64_t holdNumber = 0;
    Instant nextHoldAt {};
    /** When it last reported what runs. */
    Instant reportedAt {};
    /** When the filling tasks' control last took a report. */
    Instant observedAt {};

    /** Ends that were processed, and the change of the records that holds them. */
    std::uint64_t processedEnds = 0;
    std::uint64_t processedChange = 0;
    std::uint64_t acknowledgedEnds = 0;
    std::uint32_t failedHolds = 0;

    std::map<AttemptRef, Run> runs;
    /** Sum of what all runs take: fills take no processors. */
    Room committed;
    /** Estimate of the processors that fills find unused, in thousandths. */
    double fillRoom = 0.0;
    std::uint32_t ordersInFlight = 0;
    /** Gets nothing new before this moment: it refused or failed. */
    Instant avoidUntil {};
    /** Gets no filling task before this moment: a serving task is over its bound. */
    Instant fillsBlockedUntil {};
    /** Moving share of runs that failed here, 0 to 1. */
    double failureShare = 0.0;
    /** Runs that failed here since the last that succeeded. */
    std::uint32_t failuresInARow = 0;

    /** Returns the processors that filling tasks ask for together, in thousandths. */
    std::int64_t fillDemand() const
    {
        std::int64_t sum = 0;
        for (const auto &[attempt, run] : this->runs) {
            sum += run.fillCpuMilli;
        }
        return sum;
    }

    /** Returns what share of the worker's processors some thousandths are. */
    double shareOf(double cpuMilli) const
    {
        return cpuMilli
                / static_cast<double>(std::max<std::int64_t>(1, this->entry.capacity.cpuMilli));
    }

    /** Returns what is free for work that reserves its size. */
    Room free() const
    {
        Room room = this->entry.capacity;
        room -= this->committed;
        return room;
    }
};

} // namespace bulrush
