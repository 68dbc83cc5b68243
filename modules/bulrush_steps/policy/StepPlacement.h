#pragma once

#include "bulrush_steps/policy/Placement.h"

#include <vector>

namespace bulrush {

/** A step of which some task found no place in this round. */
struct UnplacedStep
{
    const StepSpec *step = nullptr;
    double riskAllowed = 0.0;

    /** Returns whether the tasks of another step need not be tried: they ask for as much or more.
     */
    bool rulesOut(const StepSpec &other, double otherRiskAllowed) const;
};

/**
    Chooses workers for the tasks of one step, one after the other.

    All workers are judged once; after each task only the one that took it is judged again. It
    answers steps of many tasks on many workers, where judging all workers for each task takes most
    of an owner's time.
*/
class StepPlacement
{
public:
    StepPlacement(const Placement &placement, std::map<TargetId, Worker> &workers,
                  const TaskRequest &request);

    /** Returns the best worker for the next task, or null when none may hold it now. */
    Worker *choose() const;

    /** Judges a worker again that took a task. */
    void taken(Worker &worker, const TaskRequest &request);

private:
    struct Place
    {
        Worker *worker = nullptr;
        double score = 0.0;
    };

    const Placement *placement;
    std::vector<Place> places;
};

} // namespace bulrush
