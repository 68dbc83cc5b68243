#pragma once

#include "bulrush_steps/dispatch/DispatchSettings.h"
#include "bulrush_steps/policy/PressureModel.h"
#include "bulrush_steps/workers/Worker.h"

#include <map>
#include <vector>

namespace bulrush {

/** A filling run that is to work at another share. */
struct PaceChange
{
    AttemptRef attempt;
    std::uint32_t percent = 100;
};

/**
    Keeps filling tasks from harming the serving tasks beside them.

    Of the filling runs on a worker it slows down those that press most on a serving task whose tail
    is expected near its bound, as far as the model asks for, and stops their work altogether when
    the tail stays over its bound all the same.
*/
class FillControl
{
public:
    /** Takes a worker's newest report. */
    void observe(const Worker &worker) { this->model.observe(worker); }

    /** Decides on one worker. */
    std::vector<PaceChange> decide(const Worker &worker, Instant now,
                                   const DispatchSettings &settings);

    /** Returns the processors that filling tasks find unused on a worker, in thousandths. */
    static double unusedProcessors(const Worker &worker, Instant now);

    const PressureModel &pressures() const { return this->model; }

    /** Forgets all workers, and keeps what was learned of images. */
    void forgetWorkers() { this->overSince.clear(); }

private:
    std::map<AttemptRef, double> wantedShares(const Worker &worker) const;
    void limitShares(const Worker &worker, const Run &serving,
                     std::map<AttemptRef, double> &shares) const;
    void stopHarm(const Worker &worker, Instant now, const DispatchSettings &settings,
                  std::map<AttemptRef, double> &shares);

    PressureModel model;
    /** Since when a serving run is over its bound. */
    std::map<AttemptRef, Instant> overSince;
};

} // namespace bulrush
