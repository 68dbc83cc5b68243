#pragma once

#include "bulrush_core/time/Clock.h"
#include "bulrush_placement/bulrush_placement.h"
#include "bulrush_tasks/bulrush_tasks.h"

#include <map>
#include <random>
#include <set>

namespace bulrush {

/** Which batch class a job belongs to, by its record. */
using BatchClasses = std::map<JobId, BatchClassId>;

/**
    Chooses workers by learned usage within what fits by declared size.

    At the first decision of a round it is brought up to date from the workers' ledgers and
    inventories.
    Slowdowns of services are not reported by workers yet, so that interference is spread as
    untried.

    @see placement::PlacementPolicy
*/
class LearnedPlacement : public PlacementStrategy
{
public:
    /** @param seed of ties among equal workers */
    LearnedPlacement(const Clock &clock, std::uint64_t seed);

    /** Begins a round of decisions; both arguments outlive it. */
    void beginRound(const std::map<VmId, ManagedWorker> &workers, const BatchClasses &classes);

    /** Sets how much each of the three measures counts. */
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
    /** What is committed on each worker at the round's first decision. */
    std::map<VmId, placement::WorkerView> loads;
    /** When each worker's answer was last learned from. */
    std::map<VmId, Instant> observedAt;
};

} // namespace bulrush
