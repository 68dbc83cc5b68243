#pragma once

#include "bulrush_steps/model/StepJobTable.h"
#include "bulrush_steps/workers/Worker.h"

#include <cstdint>

namespace bulrush {

/** How long a worker had a run when it last reported. */
enum class RunAge : std::uint8_t {
    /** For so short a time that a crash of the worker makes the run's task a suspect. */
    Young,
    /** It is not known since when the run has been there, or whether the worker began it. */
    Unknown,
    Lasted,
};

/**
    Decides which tasks are given up because they crash their workers.

    A crash ends all runs of a worker, most of them without fault. Suspected are the tasks of its
    young runs. A suspected task is started apart: on a worker without young runs, which takes no
    other task until it has reported that the run is no longer young. The next crash then points at
    one task. Changes only the task and the worker that it is given; the caller stores the counts.
*/
class CrashSuspects
{
public:
    /** Counts the crash of a worker during an attempt.
        @returns false when it was counted before */
    static bool countCrash(StepTask &task, std::uint64_t attempt, RunAge age);

    /** Takes back the suspicion of a task of which a run reached its end or has lasted.
        @param age how long the run has lasted, as far as it is known; a long run of a long-running
                   task also clears the crashes before it
        @returns whether the task's counts changed */
    static bool clearSuspicion(const StepSpec &step, StepTask &task, milliseconds age);

    /** Returns whether the crashes point at the task, so that it must not be started again.
        @param startedApart whether the attempt that the last crash ended was started apart, and the
                            worker is known to have begun it */
    static bool mustGiveUp(const StepTask &task, bool startedApart);

    /** Returns whether a task must be started apart. The first call for an attempt starts a limited
        wait, after which the task may start beside others. */
    static bool requireApart(StepTask &task, Instant now);

    /** Returns whether a worker has a run that its crash would make a suspect. */
    static bool hasYoungRun(const Worker &worker);

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
};

} // namespace bulrush
