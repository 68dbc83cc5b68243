#include "bulrush_placement/policy/PlacementPolicy.h"

#include <algorithm>
#include <array>

namespace bulrush::placement {

namespace {

double fraction(std::int64_t part, std::int64_t whole)
{
    return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0.0;
}

/** Returns the cost of using a fraction of a resource; it grows steeply above the threshold. */
double contention(double use, double threshold, double steepness)
{
    const double excess = std::max(0.0, use - threshold);
    return use * use + steepness * excess * excess;
}

} // namespace

PlacementPolicy::PlacementPolicy(Strategy strategy, const Mechanisms &mechanisms,
                                 const interference::PolicyWeights &weights,
                                 const PlacementSettings &settings)
    : strategy(strategy)
    , mechanisms(mechanisms)
    , weights(weights.normalised())
    , settings(settings)
{
}

std::optional<WorkerSlot> PlacementPolicy::choose(const TaskView &task, const WorkerTable &table,
                                                  const UsageModel &usage,
                                                  const interference::PairEstimates &pairs,
                                                  Instant now, std::mt19937_64 &random) const
{
    static constexpr std::array<Choice, 3> choices {
        &PlacementPolicy::chooseRandom,
        &PlacementPolicy::chooseFirst,
        &PlacementPolicy::chooseCheapest,
    };
    const Choice choice = choices[static_cast<std::size_t>(this->strategy)];
    return (this->*choice)({ task, table, usage, pairs, now, random });
}

std::optional<WorkerSlot> PlacementPolicy::chooseRandom(const Decision &decision) const
{
    const auto all = this->candidates(decision, decision.table.workers().size());
    if (all.empty()) {
        return std::nullopt;
    }
    return all[decision.random() % all.size()];
}

std::optional<WorkerSlot> PlacementPolicy::chooseFirst(const Decision &decision) const
{
    const WorkerTable &table = decision.table;
    for (WorkerSlot slot = 0; slot < table.workers().size(); ++slot) {
        if (table.canCommit(slot, decision.task) == CommitOutcome::Committed) {
            return slot;
        }
    }
    return std::nullopt;
}

std::optional<WorkerSlot> PlacementPolicy::chooseCheapest(const Decision &decision) const
{
    const Resources expected = this->mechanisms.learnedUsage
            ? decision.usage.expected(decision.task)
            : decision.task.declared;
    std::optional<WorkerSlot> best;
    double bestCost = 0;
    for (const WorkerSlot slot : this->candidates(decision, this->settings.maxCandidates)) {
        const double cost = this->cost(decision, decision.table.worker(slot), expected);
        if (!best || cost < bestCost) {
            best = slot;
            bestCost = cost;
        }
    }
    const bool mustWait = best && decision.task.mayWait && this->mechanisms.interference
            && !this->isSlowdownAcceptable(decision, decision.table.worker(*best), expected);
    return mustWait ? std::nullopt : best;
}

std::vector<WorkerSlot> PlacementPolicy::candidates(const Decision &decision,
                                                    std::size_t limit) const
{
    const WorkerTable &table = decision.table;
    const std::size_t count = table.workers().size();
    std::vector<WorkerSlot> found;
    if (count == 0) {
        return found;
    }
    found.reserve(std::min(limit, count));
    const std::size_t start = decision.random() % count;
    for (std::size_t step = 0; step < count && found.size() < limit; ++step) {
        const WorkerSlot slot = start + step < count ? start + step : start + step - count;
        const Resources needed = decision.task.declared + this->headroomOn(slot, decision.task);
        const bool hasRoom = table.hasRoom(slot, needed);
        if (hasRoom && table.canCommit(slot, decision.task) == CommitOutcome::Committed) {
            found.push_back(slot);
        }
    }
    return found;
}

Resources PlacementPolicy::headroomOn(WorkerSlot slot, const TaskView &task) const
{
    const bool isOrdinary = task.kind != TaskKind::Service && task.urgency == Urgency::Ordinary;
    const bool keepsHeadroom = (slot + 1) % this->settings.workersPerHeadroom == 0;
    const bool applies = this->strategy == Strategy::Learned && this->mechanisms.urgentHeadroom;
    return applies && isOrdinary && keepsHeadroom ? this->settings.headroom : Resources {};
}

double PlacementPolicy::cost(const Decision &decision, const WorkerView &worker,
                             const Resources &expected) const
{
    double cost = this->contentionCost(worker, expected);
    if (this->mechanisms.interference) {
        cost += this->interferenceCost(decision, worker, expected);
    }
    if (this->mechanisms.rackSpreading && decision.task.kind == TaskKind::Service) {
        cost += this->spreadingCost(decision, worker);
    }
    const bool leavesAcceleratorsUnused =
            worker.capacity.accelerators > 0 && decision.task.declared.accelerators == 0;
    return leavesAcceleratorsUnused ? cost + this->settings.unusedAcceleratorCost : cost;
}

double PlacementPolicy::contentionCost(const WorkerView &worker, const Resources &expected) const
{
    const Resources before =
            this->mechanisms.learnedUsage ? worker.expectedUsage : worker.committed;
    const Resources after = before + expected;
    const double cpu = fraction(after.cpuMilli, worker.capacity.cpuMilli);
    const double memory = fraction(after.memoryMb, worker.capacity.memoryMb);
    const double cpuCost = contention(cpu, this->settings.cpuContentionThreshold,
                                      this->settings.contentionSteepness);
    const double memoryCost = contention(memory, this->settings.memoryContentionThreshold,
                                         this->settings.contentionSteepness);
    const double cpuWeight = this->weights.tailLatency + this->weights.throughput;
    return cpuWeight * cpuCost + this->weights.evictions * memoryCost;
}

double PlacementPolicy::interferenceCost(const Decision &decision, const WorkerView &worker,
                                         const Resources &expected) const
{
    const TaskView &task = decision.task;
    double slowdown = 0;
    if (task.kind == TaskKind::Service) {
        for (const ClassLoad &load : worker.classes) {
            const Resources used = decision.usage.expected(load.batchClass, load.declared);
            slowdown += decision.pairs.expectedSlowdownPerShare(task.service, load.batchClass,
                                                                decision.now)
                    * fraction(used.cpuMilli, worker.capacity.cpuMilli);
        }
    } else {
        const double share = fraction(expected.cpuMilli, worker.capacity.cpuMilli);
        for (const ServiceLoad &load : worker.services) {
            const double added = decision.pairs.expectedSlowdownPerShare(
                                         load.service, task.batchClass, decision.now)
                    * share;
            slowdown += this->addedSlowdownCost(load.addedSlowdown, added) * load.count;
        }
    }
    // Strong interference leads to an eviction, so the weight of evictions applies as well.
    return (this->weights.tailLatency + this->weights.evictions) * slowdown;
}

bool PlacementPolicy::isSlowdownAcceptable(const Decision &decision, const WorkerView &worker,
                                           const Resources &expected) const
{
    const double share = fraction(expected.cpuMilli, worker.capacity.cpuMilli);
    const BatchClassId &batchClass = decision.task.batchClass;
    return std::all_of(worker.services.begin(), worker.services.end(),
                       [&](const ServiceLoad &load) {
                           const double slowdownPerShare = decision.pairs.expectedSlowdownPerShare(
                                   load.service, batchClass, decision.now);
                           const double added = slowdownPerShare * share;
                           const bool isNoticeable = added > this->settings.negligibleSlowdown;
                           return !isNoticeable
                                   || load.addedSlowdown + added <= this->settings.maxAddedSlowdown;
                       });
}

double PlacementPolicy::addedSlowdownCost(double before, double added) const
{
    const double after = before + added;
    return added + this->settings.slowdownSteepness * (after * after - before * before);
}

double PlacementPolicy::spreadingCost(const Decision &decision, const WorkerView &worker) const
{
    const ServiceId &service = decision.task.service;
    const auto slot = decision.table.find(worker.id);
    const int onWorker = slot ? decision.table.replicasOnWorker(service, *slot) : 0;
    const int inRack = decision.table.replicasInRack(service, worker.rack);
    return this->settings.sameRackCost * inRack + this->settings.sameWorkerCost * onWorker;
}

} // namespace bulrush::placement
