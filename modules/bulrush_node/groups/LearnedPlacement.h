#pragma once

#include "bulrush_core/time/Clock.h"
#include "bulrush_placement/bulrush_placement.h"
#include "bulrush_tasks/bulrush_tasks.h"

#include <map>
#include <random>
#include <set>

namespace bulrush {

/** The batch class of each job, from the job's record. */
using BatchClasses = std::map<JobId, BatchClassId>;

/**
    Chooses among the workers on which a task fits by declared size, using the learned resource
    usage of batch classes.

    The loads are refreshed from the workers' ledgers and inventories at the first decision of a
    round. Workers do not report slowdowns of services yet, so every pair of service and batch class
    counts as not measured and has the default estimate of interference.

    @see placement::PlacementPolicy
*/
class LearnedPlacement : public PlacementStrategy
{
public:
    /** @param seed of the generator that breaks ties among workers of equal cost */
    LearnedPlacement(const Clock &clock, std::uint64_t seed);

    /** Begins a round of decisions. Both arguments must outlive the round. */
    void beginRound(const std::map<VmId, ManagedWorker> &workers, const BatchClasses &classes);

    /** Sets the weights of the three measures. */
    void setWeights(const interference::PolicyWeights &weights);

    std::optional<VmId> choose(const PlacementRequest &request,
                               std::span<const PlacementCandidate> candidates) override;

private:
    placement::TaskView viewOf(const PlacementRequest &request) const;
    BatchClassId classOf(const JobId &job) const;
    void refreshLoads();
    void observeUsage();
    placement::WorkerTable tableOf(const PlacementRequest &request,
                                   std::span<const PlacementCandidate> candidates) const;

    const Clock &clock;
    std::mt19937_64 random;
    placement::PlacementPolicy policy;
    placement::UsageModel usage;
    interference::PairEstimates pairs;
    const std::map<VmId, ManagedWorker> *managed = nullptr;
    const BatchClasses *batchClasses = nullptr;
    bool stale = true;
    /** The load of each worker at the first decision of the round. */
    std::map<VmId, placement::WorkerView> loads;
    /** The time of the latest answer of each worker that was added to the usage model. */
    std::map<VmId, Instant> observedAt;
};

} // namespace bulrush
