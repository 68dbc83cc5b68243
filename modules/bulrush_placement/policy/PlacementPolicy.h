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

/** How a worker is chosen among those that fit. */
enum class Strategy : std::uint8_t {
    RandomFit, ///< any of them
    FirstFit, ///< the first of the table
    Learned ///< by learned usage, interference and racks
};

/** The parts of the learned strategy; each can be switched off to measure what it brings. */
struct Mechanisms
{
    bool learnedUsage = true; ///< else by declared sizes
    bool interference = true; ///< else pairs do not matter
    bool urgentHeadroom = true; ///< else ordinary tasks may fill every worker
    bool rackSpreading = true; ///< else racks do not matter
};

/** Constants of the learned strategy. */
struct PlacementSettings
{
    std::size_t maxCandidates = 48; ///< workers that fit and are compared in one decision
    double cpuContentionThreshold =
            0.80; ///< use of processors above which contention grows steeply
    double memoryContentionThreshold = 0.85; ///< use of memory above which a shortage threatens
    double contentionSteepness = 40.0; ///< of the cost above the comfortable use
    double slowdownSteepness = 4.0; ///< of the cost of harm where a service is disturbed already
    double maxAddedSlowdown = 0.5; ///< expected slowdown that a task is rather made to wait for
    double negligibleSlowdown = 0.03; ///< of one task; never a reason to wait
    std::size_t workersPerHeadroom = 8; ///< of so many workers one keeps room for urgent tasks
    Resources headroom { 8'000, 24'000, 0 }; ///< that such a worker keeps
    double sameRackCost = 0.5; ///< cost of each replica of the same service in the rack
    double sameWorkerCost = 1.0; ///< cost of each replica of the same service on the worker
    double unusedAcceleratorCost = 0.3; ///< cost of taking a worker with accelerators for nothing
};

/**
    Chooses the worker for a task. What fits is decided by declared sizes alone; everything that was
    learned only steers the choice among the workers that fit.
*/
class PlacementPolicy
{
public:
    PlacementPolicy(Strategy strategy, const Mechanisms &mechanisms,
                    const interference::PolicyWeights &weights,
                    const PlacementSettings &settings = {});

    /** Returns the worker on which a task is to start, or nothing when none has room.

        @param random the caller's seeded source; used for ties and for where a scan starts
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

    std::optional<WorkerSlot> chooseAny(const Decision &decision) const;
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
