#include "FakeWorker.h"

#include <algorithm>
#include <cmath>

namespace bulrush::bench {

namespace {

constexpr double capacityCpuMilli = 64'000;
constexpr double capacityMemoryMb = 250'000;
constexpr double milliPerCore = 1'000;
constexpr double throttledSpeed = 0.4;
constexpr double checkpointIntervalSeconds = 120; ///< between periodic checkpoints
constexpr int checkpointWriteSeconds = 5;
constexpr double minSpeed = 0.05;
constexpr double contentionThreshold = 0.8; ///< utilisation above which processors are contended
constexpr double contentionSteepness = 6;

std::int64_t rounded(double amount)
{
    return static_cast<std::int64_t>(std::llround(amount));
}

} // namespace

void FakeWorker::startBatch(const RunningTask &task)
{
    this->running.emplace(task.arrival.task.job, task);
}

RunningTask FakeWorker::stop(const JobId &job)
{
    const auto found = this->running.find(job);
    RunningTask task = found->second;
    this->running.erase(found);
    return task;
}

void FakeWorker::setThrottled(const JobId &job, bool isThrottled)
{
    this->running.at(job).isThrottled = isThrottled;
}

void FakeWorker::checkpointAndStop(const JobId &job)
{
    this->running.at(job).secondsToMove = checkpointWriteSeconds;
}

Departures FakeWorker::tick(const LoadModel &model, const std::vector<double> &serviceLoads)
{
    Departures departures;
    this->killForMemory(model, departures);
    const double services = this->serviceDemand(model, serviceLoads);
    const double batch = this->batchDemand();
    this->utilisation = (services + batch) / capacityCpuMilli;
    const double available = std::max(0.0, capacityCpuMilli - services);
    const double speed = batch > available ? std::max(minSpeed, available / batch) : 1.0;
    for (auto entry = this->running.begin(); entry != this->running.end();) {
        RunningTask &task = entry->second;
        departures.coreSeconds += advance(task, speed);
        const bool isDone = task.doneSeconds >= task.arrival.workSeconds;
        const bool isMoved = task.secondsToMove == 0;
        if (isDone || isMoved) {
            (isDone ? departures.finished : departures.moved).push_back(task);
            entry = this->running.erase(entry);
        } else {
            ++entry;
        }
    }
    return departures;
}

double FakeWorker::slowdown(const LoadModel &model, std::size_t service, double load) const
{
    double harm = 0;
    for (const auto &[job, task] : this->running) {
        const double share = cpuMilli(task) / capacityCpuMilli;
        harm += model.classes()[task.arrival.batchClass].harm[service] * share;
    }
    const double excess = std::max(0.0, this->utilisation - contentionThreshold);
    return 1 + harm * load + contentionSteepness * excess * excess;
}

WorkerReport FakeWorker::report(LoadModel &model, const std::vector<double> &serviceLoads) const
{
    WorkerReport report;
    for (const std::size_t service : this->replicas) {
        const double slowdown = this->slowdown(model, service, serviceLoads[service]);
        report.services.push_back({ service, slowdown * model.measurementNoise() });
        const auto &kind = model.services()[service];
        report.serviceCpuMilli.push_back(static_cast<double>(kind.declared.cpuMilli) * kind.cpuRatio
                                         * serviceLoads[service]);
    }
    std::vector<ClassReport> classes(model.classes().size());
    for (const auto &[job, task] : this->running) {
        ClassReport &entry = classes[task.arrival.batchClass];
        entry.batchClass = task.arrival.batchClass;
        entry.declared += task.arrival.task.declared;
        entry.used += { rounded(cpuMilli(task)), rounded(task.arrival.memoryMb), 0 };
    }
    std::erase_if(classes, [](const ClassReport &entry) { return entry.declared.cpuMilli == 0; });
    report.classes = classes;
    return report;
}

double FakeWorker::cpuMilli(const RunningTask &task)
{
    return task.arrival.cpuMilli * (task.isThrottled ? throttledSpeed : 1.0);
}

double FakeWorker::serviceDemand(const LoadModel &model, const std::vector<double> &loads) const
{
    double demand = 0;
    for (const std::size_t service : this->replicas) {
        const auto &kind = model.services()[service];
        demand += static_cast<double>(kind.declared.cpuMilli) * kind.cpuRatio * loads[service];
    }
    return demand;
}

double FakeWorker::batchDemand() const
{
    double demand = 0;
    for (const auto &[job, task] : this->running) {
        demand += cpuMilli(task);
    }
    return demand;
}

void FakeWorker::killForMemory(const LoadModel &model, Departures &departures)
{
    double used = 0;
    for (const std::size_t service : this->replicas) {
        used += static_cast<double>(model.services()[service].declared.memoryMb);
    }
    for (const auto &[job, task] : this->running) {
        used += task.arrival.memoryMb;
    }
    const auto excess = [](const RunningTask &task) {
        return task.arrival.memoryMb - static_cast<double>(task.arrival.task.declared.memoryMb);
    };
    while (used > capacityMemoryMb && !this->running.empty()) {
        const auto victim = std::max_element(this->running.begin(), this->running.end(),
                                             [&](const auto &left, const auto &right) {
                                                 return excess(left.second) < excess(right.second);
                                             });
        used -= victim->second.arrival.memoryMb;
        departures.killed.push_back(victim->second);
        this->running.erase(victim);
    }
}

double FakeWorker::advance(RunningTask &task, double speed)
{
    const double progress = speed * (task.isThrottled ? throttledSpeed : 1.0);
    task.doneSeconds += progress;
    task.secondsSinceCheckpoint += 1;
    if (task.secondsSinceCheckpoint >= checkpointIntervalSeconds || task.secondsToMove == 1) {
        task.checkpointedSeconds = task.doneSeconds;
        task.secondsSinceCheckpoint = 0;
    }
    task.secondsToMove = std::max(-1, task.secondsToMove - (task.secondsToMove >= 0 ? 1 : 0));
    return progress * task.arrival.cpuMilli / milliPerCore;
}

} // namespace bulrush::bench
