#include "bulrush_placement/policy/Reservation.h"

#include <algorithm>

namespace bulrush::placement {

namespace {

bool isReservable(const WorkerView &worker, const TaskView &task)
{
    const bool isOpen = !worker.isLeaving && !worker.isSetAside && worker.reservedFor.isEmpty();
    const bool isInDataCentre = task.dataCentre.isEmpty() || task.dataCentre == worker.dataCentre;
    return isOpen && isInDataCentre && task.declared.fitsIn(worker.capacity);
}

double missingFraction(std::int64_t needed, std::int64_t free, std::int64_t capacity)
{
    const std::int64_t missing = std::max<std::int64_t>(0, needed - free);
    return capacity > 0 ? static_cast<double>(missing) / static_cast<double>(capacity) : 0.0;
}

double totalMissingFraction(const WorkerView &worker, const TaskView &task)
{
    const Resources uncommitted = worker.uncommitted();
    const Resources &needed = task.declared;
    const Resources &capacity = worker.capacity;
    return missingFraction(needed.cpuMilli, uncommitted.cpuMilli, capacity.cpuMilli)
            + missingFraction(needed.memoryMb, uncommitted.memoryMb, capacity.memoryMb)
            + missingFraction(needed.accelerators, uncommitted.accelerators, capacity.accelerators);
}

} // namespace

std::optional<WorkerSlot> reserveWorker(const TaskView &task, WorkerTable &table,
                                        std::size_t maxReservations)
{
    std::optional<WorkerSlot> best;
    double bestFraction = 0;
    std::size_t reserved = 0;
    for (WorkerSlot slot = 0; slot < table.workers().size(); ++slot) {
        const WorkerView &worker = table.worker(slot);
        if (worker.reservedFor == task.job) {
            return slot;
        }
        reserved += worker.reservedFor.isEmpty() ? 0 : 1;
        if (!isReservable(worker, task)) {
            continue;
        }
        const double fraction = totalMissingFraction(worker, task);
        if (!best || fraction < bestFraction) {
            best = slot;
            bestFraction = fraction;
        }
    }
    if (!best || reserved >= maxReservations) {
        return std::nullopt;
    }
    table.reserve(*best, task.job);
    return best;
}

void cancelReservation(const JobId &job, WorkerTable &table)
{
    for (WorkerSlot slot = 0; slot < table.workers().size(); ++slot) {
        if (table.worker(slot).reservedFor == job) {
            table.reserve(slot, JobId());
        }
    }
}

} // namespace bulrush::placement
