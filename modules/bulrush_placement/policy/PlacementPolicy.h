#pragma once

#include "bulrush_interference/estimates/PairEstimates.h"
#include "bulrush_interference/weights/PolicyWeights.h"
#include "bulrush_placement/usage/UsageModel.h"
#include "bulrush_placement/view/WorkerTable.h"

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace bulrush::placement {

/** How a worker is chosen among those on which the task fits. */
enum class Strategy : std::uint8_t {
    RandomFit, ///< a random one
    FirstFit, ///< the first one in the table
    Learned ///< by learned usage, interference and racks
};

/** The parts of the learned strategy; each can be disabled to measure its effect. */
struct Mechanisms
{
    bool learnedUsage = true; ///< if false, declared sizes are used
    bool interference = true; ///< if false, interference is ignored
    bool urgentHeadroom = true; ///< if false, ordinary tasks may fill every worker
    bool rackSpreading = true; ///< if false, racks are ignored
};

/** Constants of the learned strategy. */
struct PlacementSettings
{
    std::size_t maxCandidates = 48; ///< maximum number of fitting workers compared in one decision
    double cpuContentionThreshold = 0.80; ///< use of processors above which cost grows steeply
    double memoryContentionThreshold = 0.85; ///< use of memory above which a shortage is likely
    double contentionSteepness = 40.0; ///< quadratic cost factor above these thresholds
    double slowdownSteepness = 4.0; ///< quadratic cost factor of a service's total slowdown
    /** Expected slowdown of a service by all batch tasks, above which a task that may wait is
        deferred. */
    double maxAddedSlowdown = 0.5;
    double negligibleSlowdown = 0.03; ///< added by one task; never a reason to defer it
    std::size_t workersPerHeadroom = 8; ///< one worker in this many keeps headroom
    Resources headroom { 8'000, 24'000, 0 }; ///< kept free on such a worker for urgent tasks
    double sameRackCost = 0.5; ///< for each replica of the same service in the rack
    double sameWorkerCost = 1.0; ///< for each replica of the same service on the worker
    double unusedAcceleratorCost = 0.3; ///< for a worker with accelerators, if none are needed
};

/**
    Chooses the worker for a task. Declared sizes alone determine on which workers a task fits;
    learned values only rank those workers.
*/
class PlacementPolicy
{
public:
    PlacementPolicy(Strategy strategy, const Mechanisms &mechanisms,
                    const interference::PolicyWeights &weights,
                    const PlacementSettings &settings = {});

    /** Returns the worker on which to start a task, or nothing if none has room or the task
        should wait for a worker with less interference.

        @param random the caller's seeded generator; RandomFit chooses with it, and scans start at a
                      random slot, so that ties are broken at random
    */
    std::optional<WorkerSlot> choose(const TaskView &task, const WorkerTable &table,
                                     const UsageModel &usage,
                                     const interference::PairEstimates &pairs, Instant now,
                                     std::mt19937_64 &random) const;

private:
    struct Decision
    {
        const TaskView &task;
        const WorkerTable &table;
        const UsageModel &usage;
        const interference::PairEstimates &pairs;
        Instant now;
        std::mt19937_64 &random;
    };

    using Choice = std::optional<WorkerSlot> (PlacementPolicy::*)(const Decision &) const;

    std::optional<WorkerSlot> chooseRandom(const Decision &decision) const;
    std::optional<WorkerSlot> chooseFirst(const Decision &decision) const;
    std::optional<WorkerSlot> chooseCheapest(const Decision &decision) const;

    std::vector<WorkerSlot> candidates(const Decision &decision, std::size_t limit) const;
    Resources headroomOn(WorkerSlot slot, const TaskView &task) const;
    double cost(const Decision &decision, const WorkerView &worker,
                const Resources &expected) const;
    double contentionCost(const WorkerView &worker, const Resources &expected) const;
    double interferenceCost(const Decision &decision, const WorkerView &worker,
                            const Resources &expected) const;
    bool isSlowdownAcceptable(const Decision &decision, const WorkerView &worker,
                              const Resources &expected) const;
    double addedSlowdownCost(double before, double added) const;
    double spreadingCost(const Decision &decision, const WorkerView &worker) const;

    Strategy strategy;
    Mechanisms mechanisms;
    interference::PolicyWeights weights;
    PlacementSettings settings;
};

} // namespace bulrush::placement
