#include "bulrush_placement/view/WorkerTable.h"

#include <algorithm>
#include <array>

namespace bulrush::placement {

namespace {

/** Adds a task to the entry with the given id (change 1) or removes one from it (change -1); adds a
    missing entry with its first task and erases an entry with its last. */
template<class Load, class Key>
void updateLoad(std::vector<Load> &loads, Key Load::*key, const Key &id, const Resources &declared,
                int change)
{
    const auto matches = [&](const Load &load) { return load.*key == id; };
    auto entry = std::find_if(loads.begin(), loads.end(), matches);
    if (entry == loads.end()) {
        if (change < 0) {
            return;
        }
        Load load;
        load.*key = id;
        loads.push_back(load);
        entry = std::prev(loads.end());
    }
    entry->count += change;
    entry->declared = change > 0 ? entry->declared + declared : entry->declared - declared;
    if (entry->count <= 0) {
        loads.erase(entry);
    }
}

} // namespace

WorkerSlot WorkerTable::add(const WorkerView &worker)
{
    const auto [entry, isNew] = this->slots.try_emplace(worker.id, this->views.size());
    const WorkerSlot slot = entry->second;
    if (isNew) {
        this->views.push_back(worker);
        this->freeCapacities.emplace_back();
    } else {
        for (const ServiceLoad &load : this->views[slot].services) {
            this->replicasByRack[load.service][this->views[slot].rack] -= load.count;
        }
        this->views[slot] = worker;
    }
    for (const ServiceLoad &load : worker.services) {
        this->replicasByRack[load.service][worker.rack] += load.count;
    }
    this->updateFreeCapacity(slot);
    return slot;
}

std::optional<WorkerSlot> WorkerTable::find(const VmId &worker) const
{
    const auto found = this->slots.find(worker);
    return found == this->slots.end() ? std::nullopt : std::optional(found->second);
}

CommitOutcome WorkerTable::canCommit(WorkerSlot slot, const TaskView &task) const
{
    const WorkerView &worker = this->views[slot];
    if (!task.declared.isValid()) {
        return CommitOutcome::InvalidSize;
    }
    if (worker.isLeaving) {
        return CommitOutcome::WorkerLeaving;
    }
    if (worker.isSetAside) {
        return CommitOutcome::WorkerSetAside;
    }
    if (!task.dataCentre.isEmpty() && task.dataCentre != worker.dataCentre) {
        return CommitOutcome::WrongDataCentre;
    }
    if (!worker.reservedFor.isEmpty() && worker.reservedFor != task.job) {
        return CommitOutcome::Reserved;
    }
    if (task.maxPerWorker > 0 && this->replicasOnWorker(task.service, slot) >= task.maxPerWorker) {
        return CommitOutcome::TooManyReplicas;
    }
    return task.declared.fitsIn(worker.uncommitted()) ? CommitOutcome::Committed
                                                      : CommitOutcome::NoRoom;
}

CommitOutcome WorkerTable::commit(WorkerSlot slot, const TaskView &task, const UsageModel &usage)
{
    const CommitOutcome outcome = this->canCommit(slot, task);
    if (outcome != CommitOutcome::Committed) {
        return outcome;
    }
    WorkerView &worker = this->views[slot];
    worker.committed += task.declared;
    worker.expectedUsage += usage.expected(task);
    worker.reservedFor = JobId();
    this->updateLoads(worker, task, 1);
    this->updateFreeCapacity(slot);
    return outcome;
}

void WorkerTable::release(WorkerSlot slot, const TaskView &task, const UsageModel &usage)
{
    WorkerView &worker = this->views[slot];
    worker.committed -= task.declared;
    this->updateLoads(worker, task, -1);
    this->refreshExpectedUsage(slot, usage);
    this->updateFreeCapacity(slot);
}

void WorkerTable::refreshExpectedUsage(WorkerSlot slot, const UsageModel &usage)
{
    WorkerView &worker = this->views[slot];
    worker.expectedUsage = {};
    for (const ClassLoad &load : worker.classes) {
        worker.expectedUsage += usage.expected(load.batchClass, load.declared);
    }
    for (const ServiceLoad &load : worker.services) {
        worker.expectedUsage += usage.expected(load.service, load.declared);
    }
}

void WorkerTable::refreshAddedSlowdown(WorkerSlot slot, const UsageModel &usage,
                                       const interference::PairEstimates &pairs, Instant now)
{
    WorkerView &worker = this->views[slot];
    for (ServiceLoad &service : worker.services) {
        service.addedSlowdown = 0;
    }
    for (const ClassLoad &load : worker.classes) {
        const Resources used = usage.expected(load.batchClass, load.declared);
        const double share = static_cast<double>(used.cpuMilli)
                / static_cast<double>(std::max<std::int64_t>(1, worker.capacity.cpuMilli));
        for (ServiceLoad &service : worker.services) {
            service.addedSlowdown +=
                    share * pairs.expectedSlowdownPerShare(service.service, load.batchClass, now);
        }
    }
}

void WorkerTable::setLeaving(WorkerSlot slot, bool isLeaving)
{
    this->views[slot].isLeaving = isLeaving;
    this->clearReservationIfClosed(slot);
    this->updateFreeCapacity(slot);
}

void WorkerTable::setAside(WorkerSlot slot, bool isSetAside)
{
    this->views[slot].isSetAside = isSetAside;
    this->clearReservationIfClosed(slot);
    this->updateFreeCapacity(slot);
}

void WorkerTable::reserve(WorkerSlot slot, const JobId &job)
{
    this->views[slot].reservedFor = job;
}

int WorkerTable::replicasOnWorker(const ServiceId &service, WorkerSlot slot) const
{
    const auto &loads = this->views[slot].services;
    const auto isSame = [&service](const ServiceLoad &load) { return load.service == service; };
    const auto found = std::find_if(loads.begin(), loads.end(), isSame);
    return found == loads.end() ? 0 : found->count;
}

int WorkerTable::replicasInRack(const ServiceId &service, std::string_view rack) const
{
    const auto racks = this->replicasByRack.find(service);
    if (racks == this->replicasByRack.end()) {
        return 0;
    }
    const auto count = racks->second.find(std::string(rack));
    return count == racks->second.end() ? 0 : count->second;
}

void WorkerTable::clearReservationIfClosed(WorkerSlot slot)
{
    WorkerView &worker = this->views[slot];
    if (worker.isLeaving || worker.isSetAside) {
        worker.reservedFor = JobId();
    }
}

void WorkerTable::updateFreeCapacity(WorkerSlot slot)
{
    const WorkerView &worker = this->views[slot];
    this->freeCapacities[slot] = { worker.uncommitted(), !worker.isLeaving && !worker.isSetAside };
}

void WorkerTable::updateLoads(WorkerView &worker, const TaskView &task, int change)
{
    if (task.kind == TaskKind::Service) {
        updateLoad(worker.services, &ServiceLoad::service, task.service, task.declared, change);
        this->replicasByRack[task.service][worker.rack] += change;
    } else {
        updateLoad(worker.classes, &ClassLoad::batchClass, task.batchClass, task.declared, change);
    }
}

std::string_view commitOutcomeName(CommitOutcome outcome)
{
    static constexpr std::array<std::string_view, 8> names {
        "committed",         "no-room",  "worker-leaving",    "worker-set-aside",
        "wrong-data-centre", "reserved", "too-many-replicas", "invalid-size",
    };
    return names[static_cast<std::size_t>(outcome)];
}

} // namespace bulrush::placement
