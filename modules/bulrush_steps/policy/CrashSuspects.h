#pragma once

#include "bulrush_steps/model/StepJobTable.h"
#include "bulrush_steps/workers/Worker.h"

#include <cstdint>
#include <vector>

namespace bulrush {

/** How long a worker had a run when it last reported. */
enum class RunAge : std::uint8_t {
    Young,
    /** It is not known since when the run has been there, or whether the worker began it. */
    Unknown,
    Lasted,
};

/** What the crash of a worker says about the task of one of its runs. */
enum class CrashSign : std::uint8_t {
    /** Nothing: the worker is not known to have begun the run, or may have had it for longer. */
    None,
    /** The worker had just begun the run, and may have just begun one of another job. */
    Suspicion,
    /** The worker had just begun the run, and no run of another job. */
    Evidence,
};

/**
    Decides which tasks are given up because they crash their workers.

    A crash ends all runs of a worker, most of them without fault. Suspected are the tasks of which
    the worker is known to have begun a run just before it crashed. A suspected task is started
    apart: on a worker that has not just begun another run, and that takes no other task until it
   has reported that the run has lasted. A task is given up after two crashes in a row, each under
   its run alone, three with one such among them, or four: workers that crash for other
   reasons rarely do so just after the start of one task, and again after the next start. A run that
   lasts or ends takes all of it back. Changes only the task and the worker that it is given; the
   caller stores the counts.
*/
class CrashSuspects
{
public:
    /** Returns what the crash of a worker says about the task of a run.
        @param crashed the runs that the crash may have ended and the worker no longer has */
    static CrashSign signOf(const Worker &worker, const std::vector<Run> &crashed, const Run &run,
                            Instant now);

    /** Counts the crash of a worker during an attempt.
        @returns false when it says nothing or was counted before */
    static bool countCrash(StepTask &task, std::uint64_t attempt, CrashSign sign);

    /** Takes back what is held against a task of which a run reached its end or has lasted.
        @returns whether the task's counts changed */
    static bool clearSuspicion(StepTask &task);

    /** Returns whether the crashes point at the task, so that it must not be started again. */
    static bool mustGiveUp(const StepTask &task);

    /** Returns whether a task must be started apart. The first call for an attempt starts a limited
        wait, after which the task may start beside others. */
    static bool requireApart(StepTask &task, Instant now);

    /** Returns whether a worker has a run that it may have just begun or may be about to begin, so
        that a crash in the next moments might be the doing of that run's task. */
    static bool hasYoungRun(const Worker &worker, Instant now);

    /** Has a worker that was given a suspected task take no other while the run is young. */
    static void setApart(Worker &worker, const AttemptRef &attempt, Instant now);

    /** Returns whether a worker takes no other task: it was given a suspected task, and has not
        reported since that run would no longer be young. */
    static bool isSetApart(const Worker &worker);

    /** Returns whether the crash of a worker points at another of its runs. */
    static bool crashPointsAtOther(const Worker &worker, const AttemptRef &attempt);

    static RunAge ageOf(const Worker &worker, const Run &run);

    /** Returns how long a run had been on its worker when the worker last reported; zero when the
        worker has not reported since the start. */
    static milliseconds lastKnownAge(const Worker &worker, const Run &run);

    /** Returns how long a run may have been on its worker when the worker crashed: the time from
        its start to the first sign that the worker did not answer. */
    static milliseconds maxAgeAtCrash(const Worker &worker, const Run &run, Instant now);
};

} // namespace bulrush
