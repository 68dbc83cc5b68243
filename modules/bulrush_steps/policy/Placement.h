#pragma once

#include "bulrush_steps/policy/PressureModel.h"
#include "bulrush_steps/workers/Worker.h"

#include <map>
#include <optional>
#include <vector>

namespace bulrush {

/** What one task needs of its worker. */
struct TaskRequest
{
    const StepSpec *step = nullptr;
    ServiceId service;
    /** Workers that hold tasks of the same step and occurrence, and how many. */
    std::map<TargetId, std::uint32_t> siblings;
    /** Workers on which earlier attempts of the task failed. */
    std::vector<TargetId> failedOn;
    /** How many serving tasks may be expected over their bound beside a filling task. */
    double riskAllowed = 0.0;
    /** For a step that wants one rack: the rack that its tasks are on; empty for none yet. */
    std::string rack;
};

/**
    Chooses the worker of a task.

    Work that reserves processors goes where most of them are free. Work that fills goes where the
    others leave most unused, and nowhere where a serving task is close to its bound.
*/
class Placement
{
public:
    Placement(Instant now, const PressureModel &pressures)
        : now(now)
        , pressures(pressures)
    {
    }

    /** Returns the best worker, or null when no worker may hold the task now. */
    Worker *choose(std::map<TargetId, Worker> &workers, const TaskRequest &request) const;

    /** Returns how well a worker suits a task; none when it may not hold it now. */
    std::optional<double> judge(const Worker &worker, const TaskRequest &request) const;

    /** Returns whether a worker could hold the task if nothing else ran on it. */
    static bool couldEverHold(const Worker &worker, const TaskRequest &request);

private:
    static double shareOf(const Worker &worker, const StepSpec &step);
    double riskOfFilling(const Worker &worker, const StepSpec &step) const;
    static bool hasRoom(const Worker &worker, const TaskRequest &request);
    bool mayHold(const Worker &worker, const TaskRequest &request) const;
    std::optional<double> fillScore(const Worker &worker, const TaskRequest &request) const;
    static double commonScore(const Worker &worker, const TaskRequest &request);

    Instant now;
    const PressureModel &pressures;
};

} // namespace bulrush
