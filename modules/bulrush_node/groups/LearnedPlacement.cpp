#include "bulrush_node/groups/LearnedPlacement.h"

namespace bulrush {

namespace {

placement::Resources toPlacement(const Resources &amount)
{
    return { amount.cpuMilli, amount.memoryMb, amount.accelerators };
}

placement::PlacementPolicy makePolicy(const interference::PolicyWeights &weights)
{
    return placement::PlacementPolicy(placement::Strategy::Learned, placement::Mechanisms(),
                                      weights);
}

placement::ClassLoad &loadOf(placement::WorkerView &worker, const BatchClassId &batchClass)
{
    for (placement::ClassLoad &load : worker.classes) {
        if (load.batchClass == batchClass) {
            return load;
        }
    }
    return worker.classes.emplace_back(placement::ClassLoad { batchClass, {}, 0 });
}

} // namespace

LearnedPlacement::LearnedPlacement(const Clock &runtimeClock, std::uint64_t seed)
    : clock(runtimeClock)
    , random(seed)
    , policy(makePolicy(interference::PolicyWeights()))
{
}

void LearnedPlacement::setWeights(const interference::PolicyWeights &weights)
{
    this->policy = makePolicy(weights);
}

void LearnedPlacement::beginRound(const std::map<VmId, ManagedWorker> &workers,
                                  const BatchClasses &classes)
{
    this->managed = &workers;
    this->batchClasses = &classes;
    this->stale = true;
}

void LearnedPlacement::refreshLoads()
{
    this->stale = false;
    this->observeUsage();
    this->loads.clear();
    for (const auto &[id, worker] : *this->managed) {
        placement::WorkerView &view = this->loads[id];
        view.committed = toPlacement(worker.ledger.committed());
        for (const auto &[attempt, need] : worker.ledger.attempts()) {
            placement::ClassLoad &load = loadOf(view, this->classOf(attempt.task.job));
            load.declared += toPlacement(need);
            ++load.count;
        }
        for (const placement::ClassLoad &load : view.classes) {
            view.expectedUsage += this->usage.expected(load.batchClass, load.declared);
        }
    }
}

void LearnedPlacement::observeUsage()
{
    for (const auto &[id, worker] : *this->managed) {
        Instant &last = this->observedAt[id];
        if (worker.answeredAt == last) {
            continue;
        }
        last = worker.answeredAt;
        for (const auto &[attempt, item] : worker.inventory) {
            if (item.state == AttemptState::Running) {
                this->usage.observe(this->classOf(attempt.task.job), toPlacement(item.need),
                                    { item.usageCpuMilli, item.usageMemoryMb, 0 });
            }
        }
    }
}

BatchClassId LearnedPlacement::classOf(const JobId &job) const
{
    const auto found = this->batchClasses->find(job);
    return found == this->batchClasses->end() ? BatchClassId(job.name()) : found->second;
}

placement::TaskView LearnedPlacement::viewOf(const PlacementRequest &request) const
{
    placement::TaskView view;
    view.job = request.task.job;
    view.kind = request.kind == TaskKind::Watcher ? placement::TaskKind::Watcher
                                                  : placement::TaskKind::Batch;
    view.batchClass = this->classOf(request.task.job);
    view.declared = toPlacement(request.need);
    view.urgency = request.urgent ? placement::Urgency::Urgent : placement::Urgency::Ordinary;
    return view;
}

placement::WorkerTable
LearnedPlacement::tableOf(const PlacementRequest &request,
                          std::span<const PlacementCandidate> candidates) const
{
    const std::set<VmId> failed(request.failedOn.begin(), request.failedOn.end());
    placement::WorkerTable table;
    for (const PlacementCandidate &candidate : candidates) {
        const auto load = this->loads.find(candidate.worker);
        placement::WorkerView view =
                load == this->loads.end() ? placement::WorkerView() : load->second;
        view.id = candidate.worker;
        view.capacity = toPlacement(candidate.capacity);
        const auto committed = toPlacement(candidate.capacity - candidate.free);
        // Resources committed since the first decision of the round count by their declared size.
        view.expectedUsage += committed - view.committed;
        view.committed = committed;
        view.isSetAside = failed.contains(candidate.worker);
        table.add(view);
    }
    return table;
}

std::optional<VmId> LearnedPlacement::choose(const PlacementRequest &request,
                                             std::span<const PlacementCandidate> candidates)
{
    if (this->stale) {
        this->refreshLoads();
    }
    const placement::TaskView task = this->viewOf(request);
    placement::WorkerTable table = this->tableOf(request, candidates);
    const Instant now = this->clock.now();
    auto slot = this->policy.choose(task, table, this->usage, this->pairs, now, this->random);
    if (!slot && !request.failedOn.empty()) {
        // Falls back to workers on which the task failed before.
        PlacementRequest anywhere = request;
        anywhere.failedOn = {};
        table = this->tableOf(anywhere, candidates);
        slot = this->policy.choose(task, table, this->usage, this->pairs, now, this->random);
    }
    return slot ? std::optional(table.worker(*slot).id) : std::nullopt;
}

} // namespace bulrush
