#pragma once

#include "bulrush_steps/model/StepJobTable.h"
#include "bulrush_steps/workers/Worker.h"

namespace bulrush {

/**
    Finds the tasks that crash their workers.

    A crash ends all runs of a worker, most of them without fault. Suspected are the tasks that had
    only just started. A suspected task is started apart from all others that have only just
    started, so that the next crash points at one task.
*/
class CrashSuspects
{
public:
    /** Counts the crash of a worker during an attempt.
        @param age how long the run had been there when the worker last reported
        @returns whether the task's counts changed */
    static bool countCrash(const StepSpec &step, StepTask &task, std::uint64_t attempt,
                           milliseconds age);

    /** Takes back the suspicion of a task of which a run ended on a worker that still answers.
        @returns whether the task was suspected */
    static bool clear(StepTask &task);

    /** Returns whether the crashes point at the task, so that it must not be started again.
        @param startedApart whether the attempt was that the last crash was counted for */
    static bool isToBlame(const StepSpec &step, const StepTask &task, bool startedApart);

    /** Returns whether a task must be started apart, which it waits for for a limited time. */
    static bool mustStartApart(StepTask &task, Instant now);

    /** Returns whether a worker has a run that its crash would make a suspect. */
    static bool hasYoungRun(const Worker &worker);

    /** Has a worker that was given a suspected task take no other while the run is young. */
    static void setApart(Worker &worker, const AttemptRef &attempt, Instant now);

    /** Returns whether a worker has a young run that was started apart. */
    static bool isSetApart(const Worker &worker);

    /** Returns whether the crash of a worker points at another of its runs. */
    static bool pointsAtOther(const Worker &worker, const AttemptRef &attempt);

    /** Returns whether a run has lasted: its worker has reported it when it was no longer young. */
    static bool hasLasted(const Worker &worker, const Run &run);

    /** Returns how long a run had been on its worker when the worker last reported; zero when the
        worker has not reported since the start. */
    static milliseconds lastKnownAge(const Worker &worker, const Run &run);
};

} // namespace bulrush
