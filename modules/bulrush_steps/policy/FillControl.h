#pragma once

#include "bulrush_steps/dispatch/DispatchSettings.h"
#include "bulrush_steps/policy/PressureModel.h"
#include "bulrush_steps/workers/Worker.h"

#include <map>
#include <vector>

namespace bulrush {

/** A filling run that is to work at another share, or elsewhere. */
struct FillChange
{
    AttemptRef attempt;
    std::uint32_t percent = 100;
    /** Whether it is to be stopped and started on another worker. */
    bool moves = false;
};

/**
    Keeps filling tasks from harming the serving tasks beside them.

    When a serving task is over its bound, the filling run beside it that presses most on it by the
    model moves to another worker; one that cannot resume stands still in its place. When the tail
    stays over its bound all the same, all filling runs there stand still.
*/
class FillControl
{
public:
    /** Takes a worker's newest report. */
    void observe(const Worker &worker, Instant now) { this->model.observe(worker, now); }

    /** Decides on one worker. */
    std::vector<FillChange> decide(const Worker &worker, Instant now,
                                   const DispatchSettings &settings);

    /** Returns whether a serving run on a worker is over its bound by the newest report. */
    static bool harms(const Worker &worker);

    /** Returns the processors that filling tasks find unused on a worker, in thousandths. */
    static double unusedProcessors(const Worker &worker, Instant now);

    const PressureModel &pressures() const { return this->model; }

    /** Forgets all workers, and keeps what was learned of images. */
    void forgetWorkers();

private:
    const Run *worstFill(const Worker &worker, const Run &serving) const;
    bool standStill(const Worker &worker, Instant now, const DispatchSettings &settings) const;
    void noteOver(const Worker &worker, Instant now);

    PressureModel model;
    /** Since when a serving run is over its bound. */
    std::map<AttemptRef, Instant> overSince;
    /** When a worker last lost a filling run because of harm. */
    std::map<TargetId, Instant> movedAt;
};

} // namespace bulrush
