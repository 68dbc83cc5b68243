#pragma once

#include "bulrush_steps/dispatch/DispatchSettings.h"
#include "bulrush_steps/policy/PressureModel.h"
#include "bulrush_steps/workers/Worker.h"

#include <map>
#include <vector>

namespace bulrush {

/** A change of pace or a move that is due for a filling run. */
struct FillChange
{
    AttemptRef attempt;
    /** The new pace, in percent of the processor time that the run demands; 0 pauses it. */
    std::uint32_t pacePercent = 100;
    /** Whether the run is to be stopped and resumed on another worker. */
    bool move = false;
};

/**
    Limits the interference of filling tasks with the serving tasks on the same worker.

    When the tail latency of a serving task exceeds its target, the filling run on the worker that
    adds the most pressure according to the model moves to another worker; a run that cannot resume
    from a checkpoint is paused instead. When the tail latency has exceeded its target for two
    fifths of DispatchSettings::maxTailViolation, all filling runs on the worker are paused, before
    that limit is reached.
*/
class FillController
{
public:
    /** Updates the pressure model with a worker's newest report. */
    void observe(const Worker &worker, Instant now) { this->model.observe(worker, now); }

    /** Lets one filling run that was started below full pace use all that it demands, once the
        worker's serving tasks are expected to bear it.
        @param moment the moment for which their load is expected
        @param risk the maximum expected number of serving tasks above their targets then */
    void liftPaceLimits(Worker &worker, Instant moment, double risk) const;

    /** Returns the changes that are due on one worker, at most one for each filling run. */
    std::vector<FillChange> decide(const Worker &worker, Instant now,
                                   const DispatchSettings &settings);

    /** Returns whether any serving run on a worker exceeded its tail latency target in the newest
        report. */
    static bool exceedsTailTarget(const Worker &worker);

    /** Returns an estimate of the processors that are unused by other tasks and thus available to
        filling tasks, in thousandths of a processor. */
    static double unusedProcessors(const Worker &worker, Instant now);

    const PressureModel &pressures() const { return this->model; }

    /** Discards the state of all workers. The learned coefficients of images are kept. */
    void clearWorkers();

private:
    const Run *mostInterferingFill(const Worker &worker, const Run &serving) const;
    bool mustPause(const Worker &worker, Instant now, const DispatchSettings &settings) const;
    void updateOverTarget(const Worker &worker, Instant now);

    PressureModel model;
    /** When each serving run that exceeds its tail latency target began to do so. */
    std::map<AttemptRef, Instant> overTargetSince;
    /** When a filling run was last moved off each worker because of interference. */
    std::map<TargetId, Instant> lastMoveAt;
};

} // namespace bulrush
