#include "PolicyRun.h"

#include <algorithm>

// The part of PolicyRun that learns from the workers' reports and relieves their services.

namespace bulrush::bench {

namespace {

constexpr int reportLag = 30;
constexpr double guardSlowdown = 2.5;

} // namespace

void PolicyRun::takeReports(int second)
{
    while (!this->reports.empty()
           && this->reports.front().measuredAt + seconds(reportLag) <= at(second)) {
        const WorkerReport report = this->reports.front();
        this->reports.pop_front();
        this->learn(report);
        if (this->isAlive[report.worker] && !report.services.empty()) {
            this->relieve(report, second);
        }
    }
}

void PolicyRun::learn(const WorkerReport &report)
{
    std::vector<interference::ClassShare> shares;
    for (const ClassReport &entry : report.classes) {
        const BatchClassId &batchClass = this->model.classes()[entry.batchClass].id;
        this->usage.observe(batchClass, entry.declared, entry.used);
        shares.push_back({ batchClass,
                           static_cast<double>(entry.used.cpuMilli)
                                   / static_cast<double>(workerCapacity.cpuMilli) });
    }
    for (std::size_t index = 0; index < report.services.size(); ++index) {
        const Service &service = this->model.services()[report.services[index].service];
        this->pairs.observe(service.id, shares, report.services[index].slowdown, report.measuredAt);
        const placement::Resources used { static_cast<std::int64_t>(report.serviceCpuMilli[index]),
                                          service.declared.memoryMb, 0 };
        this->usage.observe(service.id, service.declared, used);
    }
    this->table.refresh(report.worker, this->usage);
    this->table.refreshHarm(report.worker, this->usage, this->pairs, report.measuredAt);
}

void PolicyRun::relieve(const WorkerReport &report, int second)
{
    if (!this->variant.usesLadder) {
        const auto worst = std::max_element(
                report.services.begin(), report.services.end(),
                [](const auto &left, const auto &right) { return left.slowdown < right.slowdown; });
        this->guard(report, worst->slowdown, second);
        return;
    }
    const VmId &worker = this->table.worker(report.worker).id;
    for (const ServiceReport &entry : report.services) {
        this->filter.observe(worker, this->model.services()[entry.service].id, entry.slowdown,
                             report.measuredAt);
    }
    const auto pressure = this->filter.worst(worker);
    if (!pressure) {
        return;
    }
    std::vector<interference::LadderTask> tasks;
    for (const auto &[job, task] : this->workers[report.worker].tasks()) {
        const double share =
                FakeWorker::cpuMilli(task) / static_cast<double>(workerCapacity.cpuMilli);
        const bool isUrgent = task.arrival.task.urgency == placement::Urgency::Urgent;
        tasks.push_back({ job, task.arrival.task.batchClass, share, isUrgent, false });
    }
    for (const auto &action : this->ladder.decide(*pressure, tasks, this->pairs, at(second))) {
        this->filter.restart(worker, at(second));
        this->act(action, report.worker, second);
    }
}

void PolicyRun::guard(const WorkerReport &report, double slowdown, int second)
{
    const auto &tasks = this->workers[report.worker].tasks();
    const bool isSettled = second - this->guardedAt[report.worker] >= guardPause;
    if (slowdown < guardSlowdown || !isSettled || tasks.empty()) {
        return;
    }
    this->guardedAt[report.worker] = second;
    const auto largest =
            std::max_element(tasks.begin(), tasks.end(), [](const auto &left, const auto &right) {
                return left.second.arrival.cpuMilli < right.second.arrival.cpuMilli;
            });
    this->evict(this->workers[report.worker].stop(JobId(largest->first)), report.worker, second);
}

void PolicyRun::act(const interference::LadderAction &action, placement::WorkerSlot slot,
                    int second)
{
    using interference::LadderActionKind;
    FakeWorker &worker = this->workers[slot];
    switch (action.kind) {
    case LadderActionKind::Throttle:
        worker.setThrottled(action.job, true);
        break;
    case LadderActionKind::Restore:
        worker.setThrottled(action.job, false);
        break;
    case LadderActionKind::CheckpointAndMove:
        worker.checkpointAndStop(action.job);
        break;
    case LadderActionKind::Evict:
        this->evict(worker.stop(action.job), slot, second);
        break;
    }
}

} // namespace bulrush::bench
