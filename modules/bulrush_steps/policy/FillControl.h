#pragma once

#include "bulrush_steps/dispatch/DispatchSettings.h"
#include "bulrush_steps/workers/Worker.h"

#include <map>

namespace bulrush {

/** Which filling runs of a worker are to change their pace, and to what share. */
struct PaceChange
{
    AttemptRef attempt;
    std::uint32_t percent = 100;
};

/**
    Keeps filling tasks from harming the serving tasks beside them.

    It halves the share of the filling tasks on a worker while the tail of a serving task there is
    near its bound, stops their work altogether when the tail stays over it, and gives back in steps.
*/
class FillControl
{
public:
    /** Decides on one worker from its newest figures. */
    std::vector<PaceChange> decide(const Worker &worker, Instant now,
                                   const DispatchSettings &settings);

    /** Returns the processors that filling tasks find unused on a worker, in thousandths. */
    static double unusedProcessors(const Worker &worker, Instant now);

    /** Forgets a worker. */
    void forget(const TargetId &worker) { this->states.erase(worker); }

private:
    struct State
    {
        std::uint32_t percent = 100;
        Instant changedAt {};
        /** Since when a serving task is over its bound; none while none is. */
        Instant overSince = Instant::max();
    };

    std::map<TargetId, State> states;
};

} // namespace bulrush
