#include "bulrush_placement/policy/Reservation.h"

#include <algorithm>

namespace bulrush::placement {

namespace {

bool mayReserve(const WorkerView &worker, const TaskView &task)
{
    const bool isOpen = !worker.isLeaving && !worker.isSetAside && worker.reservedFor.isEmpty();
    const bool isRightPlace = task.dataCentre.isEmpty() || task.dataCentre == worker.dataCentre;
    return isOpen && isRightPlace && task.declared.fitsIn(worker.capacity);
}

double missingPart(std::int64_t needed, std::int64_t free, std::int64_t capacity)
{
    const std::int64_t missing = std::max<std::int64_t>(0, needed - free);
    return capacity > 0 ? static_cast<double>(missing) / static_cast<double>(capacity) : 0.0;
}

double missing(const WorkerView &worker, const TaskView &task)
{
    const Resources room = worker.room();
    const Resources &needed = task.declared;
    const Resources &capacity = worker.capacity;
    return missingPart(needed.cpuMilli, room.cpuMilli, capacity.cpuMilli)
            + missingPart(needed.memoryMb, room.memoryMb, capacity.memoryMb)
            + missingPart(needed.accelerators, room.accelerators, capacity.accelerators);
}

} // namespace

std::optional<WorkerSlot> reserveFor(const TaskView &task, WorkerTable &table, std::size_t most)
{
    std::optional<WorkerSlot> best;
    double least = 0;
    std::size_t reserved = 0;
    for (WorkerSlot slot = 0; slot < table.workers().size(); ++slot) {
        const WorkerView &worker = table.worker(slot);
        if (worker.reservedFor == task.job) {
            return slot;
        }
        reserved += worker.reservedFor.isEmpty() ? 0 : 1;
        if (!mayReserve(worker, task)) {
            continue;
        }
        const double lacks = missing(worker, task);
        if (!best || lacks < least) {
            best = slot;
            least = lacks;
        }
    }
    if (!best || reserved >= most) {
        return std::nullopt;
    }
    table.reserve(*best, task.job);
    return best;
}

void dropReservation(const JobId &job, WorkerTable &table)
{
    for (WorkerSlot slot = 0; slot < table.workers().size(); ++slot) {
        if (table.worker(slot).reservedFor == job) {
            table.reserve(slot, JobId());
        }
    }
}

} // namespace bulrush::placement
