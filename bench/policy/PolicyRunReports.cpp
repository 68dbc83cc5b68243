#include "PolicyRun.h"

#include <algorithm>

// Member functions of PolicyRun that update the estimates from worker reports and relieve services
// under pressure.

namespace bulrush::bench {

namespace {

constexpr int reportLag = 30;
constexpr double guardSlowdown = 2.5;

} // namespace

void PolicyRun::processReports(int second)
{
    while (!this->reports.empty()
           && this->reports.front().measuredAt + seconds(reportLag) <= at(second)) {
        const WorkerReport report = this->reports.front();
        this->reports.pop_front();
        this->updateEstimates(report);
        if (this->isAlive[report.worker] && !report.services.empty()) {
            this->relievePressure(report, second);
        }
    }
}

void PolicyRun::updateEstimates(const WorkerReport &report)
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
    this->table.refreshExpectedUsage(report.worker, this->usage);
    this->table.refreshAddedSlowdown(report.worker, this->usage, this->pairs, report.measuredAt);
}

void PolicyRun::relievePressure(const WorkerReport &report, int second)
{
    if (!this->variant.usesLadder) {
        const auto worst = std::max_element(
                report.services.begin(), report.services.end(),
                [](const auto &left, const auto &right) { return left.slowdown < right.slowdown; });
        this->evictByGuard(report, worst->slowdown, second);
        return;
    }
    const VmId &worker = this->table.worker(report.worker).id;
    for (const ServiceReport &entry : report.services) {
        this->filter.observe(worker, this->model.services()[entry.service].id, entry.slowdown,
                             report.measuredAt);
    }
    const auto pressure = this->filter.largestPressure(worker);
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
        this->filter.reset(worker, at(second));
        this->applyAction(action, report.worker, second);
    }
}

void PolicyRun::evictByGuard(const WorkerReport &report, double slowdown, int second)
{
    const auto &tasks = this->workers[report.worker].tasks();
    const bool isIntervalOver = second - this->lastGuardEvictions[report.worker] >= guardInterval;
    if (slowdown < guardSlowdown || !isIntervalOver || tasks.empty()) {
        return;
    }
    this->lastGuardEvictions[report.worker] = second;
    const auto largest =
            std::max_element(tasks.begin(), tasks.end(), [](const auto &left, const auto &right) {
                return left.second.arrival.cpuMilli < right.second.arrival.cpuMilli;
            });
    this->evict(this->workers[report.worker].stop(JobId(largest->first)), report.worker, second);
}

void PolicyRun::applyAction(const interference::LadderAction &action, placement::WorkerSlot slot,
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
