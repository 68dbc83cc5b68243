#include "bulrush_placement/policy/FeasibilityCheck.h"

#include <algorithm>

namespace bulrush::placement {

namespace {

Resources missingResources(const Resources &needed, const Resources &offered)
{
    return { std::max<std::int64_t>(0, needed.cpuMilli - offered.cpuMilli),
             std::max<std::int64_t>(0, needed.memoryMb - offered.memoryMb),
             std::max<std::int64_t>(0, needed.accelerators - offered.accelerators) };
}

double missingFraction(std::int64_t missing, std::int64_t needed)
{
    return needed > 0 ? static_cast<double>(missing) / static_cast<double>(needed) : 0.0;
}

/** Returns the distance of a worker from fitting the task: the sum of the missing fractions. */
double distance(const Resources &missing, const Resources &needed)
{
    return missingFraction(missing.cpuMilli, needed.cpuMilli)
            + missingFraction(missing.memoryMb, needed.memoryMb)
            + missingFraction(missing.accelerators, needed.accelerators);
}

void appendAmount(std::string &text, std::int64_t missing, std::string_view unit)
{
    if (missing > 0) {
        text += text.empty() ? "" : ", ";
        text += std::to_string(missing) + " " + std::string(unit);
    }
}

std::string describe(const Resources &missing)
{
    std::string text;
    appendAmount(text, missing.cpuMilli, "thousandths of a processor");
    appendAmount(text, missing.memoryMb, "MB of memory");
    appendAmount(text, missing.accelerators, "accelerators");
    return text;
}

} // namespace

std::optional<Shortfall> checkFeasibility(const TaskView &task, std::span<const WorkerView> workers,
                                          const std::optional<Resources> &quota)
{
    if (!task.declared.isValid()) {
        return Shortfall { {}, "a declared size is negative" };
    }
    if (quota && !task.declared.fitsIn(*quota)) {
        const Resources missing = missingResources(task.declared, *quota);
        return Shortfall {
            missing, "the whole quota of team " + task.team.name() + " lacks " + describe(missing)
        };
    }
    const WorkerView *nearest = nullptr;
    double nearestDistance = 0;
    for (const WorkerView &worker : workers) {
        if (!task.dataCentre.isEmpty() && worker.dataCentre != task.dataCentre) {
            continue;
        }
        const Resources missing = missingResources(task.declared, worker.capacity);
        if (missing == Resources {}) {
            return std::nullopt;
        }
        const double workerDistance = distance(missing, task.declared);
        if (nearest == nullptr || workerDistance < nearestDistance) {
            nearest = &worker;
            nearestDistance = workerDistance;
        }
    }
    if (nearest == nullptr) {
        const std::string location =
                task.dataCentre.isEmpty() ? "" : " in " + task.dataCentre.name();
        return Shortfall { task.declared, "there is no worker" + location };
    }
    const Resources missing = missingResources(task.declared, nearest->capacity);
    return Shortfall {
        missing, "the nearest worker, " + nearest->id.name() + ", lacks " + describe(missing)
    };
}

} // namespace bulrush::placement
