#pragma once

#include "bulrush_steps/policy/Placement.h"

#include <vector>

namespace bulrush {

/** A step that has a task for which no worker was found in the current planning round. */
struct UnplacedStep
{
    const StepSpec *step = nullptr;
    double riskAllowed = 0.0;

    /** Returns whether the tasks of another step need not be tried because they require at least as
        much as this one. Filling steps are compared only within an image: images interfere to
        different degrees, so another image may find a worker. */
    bool rulesOut(const StepSpec &other, double otherRiskAllowed) const;
};

/**
    Chooses workers for the tasks of one step, one after the other.

    Scores all workers once, and after each task only the worker that received it. With many tasks
    on many workers, scoring all workers for each task takes most of the owner's processor time.
*/
class StepPlacement
{
public:
    StepPlacement(const Placement &placement, std::map<TargetId, Worker> &workers,
                  const TaskRequest &request);

    /** Returns the best worker for the next task, or null when none can accept it now. */
    Worker *choose() const;

    /** Updates the score of a worker that received a task, or removes the worker when it can accept
        no further one. */
    void updateScore(Worker &worker, const TaskRequest &request);

private:
    struct ScoredWorker
    {
        Worker *worker = nullptr;
        double score = 0.0;
    };

    const Placement *placement;
    std::vector<ScoredWorker> candidates;
};

} // namespace bulrush
