#pragma once

#include "bulrush_steps/policy/Placement.h"

#include <vector>

namespace bulrush {

/** A step that has a task for which no worker was found in the current planning round. */
struct UnplacedStep
{
    const StepSpec *step = nullptr;
    double riskAllowed = 0.0;
    /** The service whose workers were tried. */
    ServiceId service;
    /** Whether the limits that protect serving tasks did not apply. */
    bool starving = false;
    /** Why none was found. */
    WaitReason reason = WaitReason::NoWorker;

    /** Returns whether the tasks of another step need not be tried because they require at least as
        much as this one, of the same service. Filling steps are compared only within an image:
        images interfere to different degrees, so another image may find a worker. */
    bool rulesOut(const StepSpec &other, const ServiceId &otherService, double otherRiskAllowed,
                  bool otherIsStarving = false) const;
};

/**
    Chooses workers for the tasks of one step, one after the other.

    Computes a bound of the score of each worker, and the score itself only of those workers that
   may be the best. With many tasks on many workers, scoring all workers takes most of the owner's
    processor time.
*/
class StepPlacement
{
public:
    StepPlacement(const Placement &placement, std::map<TargetId, Worker> &workers,
                  const TaskRequest &request);

    /** Returns the best worker for the next task, or null when none can accept it now. */
    Worker *choose(const TaskRequest &request);

    /** Updates a worker that received a task, or removes it when it can accept no further one. */
    void update(Worker &worker, const TaskRequest &request);

private:
    struct ScoredWorker
    {
        Worker *worker = nullptr;
        double score = 0.0;
        /** Whether the score is exact, not a bound. */
        bool exact = false;
    };

    static bool isWorse(const ScoredWorker &one, const ScoredWorker &other);
    void add(Worker &worker, const TaskRequest &request);

    const Placement *placement;
    /** A heap with the highest score or bound in front. */
    std::vector<ScoredWorker> candidates;
};

} // namespace bulrush
