#include "PolicyRun.h"

#include <algorithm>
#include <string>

namespace bulrush::bench {

namespace {

constexpr int runSeconds = 2'400;
constexpr int warmUpSeconds = 300; ///< excluded from the measurements
constexpr int reportPeriod = 10;
constexpr int retrySeconds = 5;
constexpr int restartSeconds = 30; ///< from the loss of a replica to its restart
constexpr int faultSecond = 900;
constexpr int noticeSeconds = 300; ///< from the notice of a withdrawal to the loss of the workers
constexpr int maxWaitSeconds = 180; ///< time that a task may wait for a better worker
constexpr int maxFailuresPerSecond = 200;
constexpr int maxMovesPerSecond = 4;
constexpr int teamCount = 8;
constexpr double secondsPerHour = 3'600;
constexpr double milliPerCore = 1'000;

double coreHours(const Arrival &arrival, double workSeconds)
{
    return arrival.cpuMilli / milliPerCore * workSeconds / secondsPerHour;
}

} // namespace

PolicyRun::PolicyRun(const Deployment &deployment, Shape shape, const Variant &variant,
                     std::uint64_t seed)
    : deployment(deployment)
    , shape(shape)
    , variant(variant)
    , model(deployment, shape, seed)
    , random(seed + 2)
    , policy(variant.strategy, variant.mechanisms, deployment.weights)
    , ladder(interference::LadderSettings::from(deployment.weights))
{
    for (int team = 0; team < teamCount; ++team) {
        const placement::Resources quota { workerCapacity.cpuMilli * deployment.workers,
                                           workerCapacity.memoryMb * deployment.workers, 0 };
        this->quotas.setQuota(TeamId("team-" + std::to_string(team)), quota);
    }
    this->addWorkers();
    this->placeServices();
}

RunResult PolicyRun::run()
{
    for (int second = 0; second < runSeconds; ++second) {
        this->applyFaults(second);
        for (const Arrival &arrival : this->model.arrivals(second)) {
            RunningTask task;
            task.arrival = arrival;
            this->requeue(task, second);
        }
        this->startReady(second);
        this->runWorkers(second);
        this->processReports(second);
    }
    return this->result();
}

void PolicyRun::addWorkers()
{
    const int racks = (this->deployment.workers + this->deployment.workersPerRack - 1)
            / this->deployment.workersPerRack;
    for (int index = 0; index < this->deployment.workers; ++index) {
        const int rack = index / this->deployment.workersPerRack;
        placement::WorkerView view;
        view.id = VmId("vm-" + std::to_string(index));
        view.rack = "rack-" + std::to_string(rack);
        view.dataCentre = DataCentreId("dc-" + std::to_string(rack * 3 / racks));
        view.capacity = workerCapacity;
        this->table.add(view);
    }
    this->workers.resize(static_cast<std::size_t>(this->deployment.workers));
    this->isAlive.assign(this->workers.size(), true);
    this->lastGuardEvictions.assign(this->workers.size(), -guardInterval);
}

void PolicyRun::placeServices()
{
    this->liveReplicas.assign(this->model.services().size(), 0);
    for (std::size_t service = 0; service < this->model.services().size(); ++service) {
        for (int replica = 0; replica < this->model.services()[service].replicas; ++replica) {
            this->placeService(service, 0);
        }
    }
}

void PolicyRun::placeService(std::size_t service, int second)
{
    placement::TaskView task;
    task.kind = placement::TaskKind::Service;
    task.service = this->model.services()[service].id;
    task.declared = this->model.services()[service].declared;
    task.maxPerWorker = 1;
    const auto slot = this->policy.choose(task, this->table, this->usage, this->pairs, at(second),
                                          this->random);
    if (!slot) {
        this->lostReplicas.emplace_back(second + restartSeconds, service);
        return;
    }
    this->table.commit(*slot, task, this->usage);
    this->workers[*slot].startService(service);
    ++this->liveReplicas[service];
}

void PolicyRun::applyFaults(int second)
{
    while (!this->lostReplicas.empty() && this->lostReplicas.front().first <= second) {
        const std::size_t service = this->lostReplicas.front().second;
        this->lostReplicas.pop_front();
        this->placeService(service, second);
    }
    for (placement::WorkerSlot slot = 0; slot < this->workers.size(); ++slot) {
        const auto &view = this->table.worker(slot);
        const bool isInLostRack = view.rack == "rack-1" && second == faultSecond;
        const bool isLostAlone = slot + 1 == this->workers.size() && second == 2 * faultSecond;
        if (this->shape == Shape::WorkerLoss && (isInLostRack || isLostAlone)) {
            this->loseWorker(slot, second);
        }
        const bool isWithdrawn = view.dataCentre == DataCentreId("dc-1");
        if (this->shape == Shape::Withdrawal && isWithdrawn) {
            if (second == faultSecond) {
                this->table.setLeaving(slot, true);
            } else if (second == faultSecond + noticeSeconds) {
                this->loseWorker(slot, second);
            }
        }
    }
    if (this->shape == Shape::Withdrawal && second > faultSecond) {
        this->drain(second);
    }
}

void PolicyRun::loseWorker(placement::WorkerSlot slot, int second)
{
    this->isAlive[slot] = false;
    this->table.setLeaving(slot, true);
    this->ladder.removeWorker(this->table.worker(slot).id);
    for (const std::size_t service : this->workers[slot].services()) {
        --this->liveReplicas[service];
        this->lostReplicas.emplace_back(second + restartSeconds, service);
    }
    for (const auto &[job, task] : this->workers[slot].tasks()) {
        RunningTask lost = task;
        this->quotas.release(lost.arrival.task.team, lost.arrival.task.declared);
        this->discardLostWork(lost, second);
        this->totals.lostWithWorkers += this->isMeasured(second) ? 1 : 0;
        this->requeue(lost, second);
    }
    this->workers[slot] = FakeWorker();
}

void PolicyRun::drain(int second)
{
    int budget = maxMovesPerSecond;
    for (placement::WorkerSlot slot = 0; slot < this->workers.size() && budget > 0; ++slot) {
        if (!this->isAlive[slot] || !this->table.worker(slot).isLeaving) {
            continue;
        }
        std::vector<JobId> jobs;
        for (const auto &[job, task] : this->workers[slot].tasks()) {
            if (task.secondsToMove < 0) {
                jobs.push_back(job);
            }
        }
        std::sort(jobs.begin(), jobs.end());
        for (const JobId &job : jobs) {
            if (budget-- > 0) {
                this->workers[slot].checkpointAndStop(job);
            }
        }
        for (const std::size_t service : this->workers[slot].services()) {
            --this->liveReplicas[service];
            this->placeService(service, second);
        }
        this->workers[slot].stopServices();
    }
}

void PolicyRun::startReady(int second)
{
    int failures = 0;
    while (failures < maxFailuresPerSecond) {
        const auto queued = this->queue.pop(this->quotas, at(second));
        if (!queued) {
            return;
        }
        if (!this->tryStart(*queued, second)) {
            this->queue.defer(*queued, at(second + retrySeconds));
            ++failures;
        }
    }
}

bool PolicyRun::tryStart(const placement::QueuedTask &queued, int second)
{
    const auto found = this->waiting.find(queued.task.job);
    placement::TaskView task = queued.task;
    const bool isOrdinary = task.urgency == placement::Urgency::Ordinary;
    task.mayWait = isOrdinary && second - found->second.since < maxWaitSeconds;
    const auto slot = this->policy.choose(task, this->table, this->usage, this->pairs, at(second),
                                          this->random);
    if (!slot) {
        return false;
    }
    const auto outcome = this->table.commit(*slot, queued.task, this->usage);
    if (outcome != placement::CommitOutcome::Committed) {
        return false;
    }
    this->quotas.acquire(queued.task.team, queued.task.declared);
    this->table.refreshAddedSlowdown(*slot, this->usage, this->pairs, at(second));
    if (queued.task.urgency == placement::Urgency::Urgent && this->isMeasured(second)) {
        this->urgentWaits.push_back(second - found->second.since);
    }
    this->workers[*slot].startBatch(found->second.task);
    this->waiting.erase(found);
    return true;
}

void PolicyRun::runWorkers(int second)
{
    const std::vector<double> loads = this->serviceLoads(second);
    for (placement::WorkerSlot slot = 0; slot < this->workers.size(); ++slot) {
        if (!this->isAlive[slot]) {
            continue;
        }
        this->applyDepartures(slot, this->workers[slot].tick(this->model, loads), second);
        this->measureServices(slot, loads, second);
        if (second % reportPeriod == static_cast<int>(slot) % reportPeriod) {
            WorkerReport report = this->workers[slot].report(this->model, loads);
            report.worker = slot;
            report.measuredAt = at(second);
            this->reports.push_back(report);
        }
    }
}

void PolicyRun::applyDepartures(placement::WorkerSlot slot, const Departures &departures,
                                int second)
{
    const auto removeTask = [this, slot](const RunningTask &task) {
        this->table.release(slot, task.arrival.task, this->usage);
        this->quotas.release(task.arrival.task.team, task.arrival.task.declared);
        this->ladder.removeTask(task.arrival.task.job);
    };
    if (this->isMeasured(second)) {
        this->totals.batchCoreHours += departures.coreSeconds / secondsPerHour;
    }
    for (const RunningTask &task : departures.finished) {
        removeTask(task);
        if (this->isMeasured(second)) {
            this->totals.finishedCoreHours += coreHours(task.arrival, task.arrival.workSeconds);
            ++this->totals.finished;
        }
    }
    for (const RunningTask &task : departures.moved) {
        removeTask(task);
        this->totals.moves += this->isMeasured(second) ? 1 : 0;
        this->requeue(task, second);
    }
    for (const RunningTask &task : departures.killed) {
        this->evict(task, slot, second);
    }
}

void PolicyRun::evict(const RunningTask &task, placement::WorkerSlot slot, int second)
{
    RunningTask evicted = task;
    this->table.release(slot, task.arrival.task, this->usage);
    this->quotas.release(task.arrival.task.team, task.arrival.task.declared);
    this->ladder.removeTask(task.arrival.task.job);
    this->totals.evictions += this->isMeasured(second) ? 1 : 0;
    this->discardLostWork(evicted, second);
    this->requeue(evicted, second);
}

void PolicyRun::requeue(RunningTask task, int second)
{
    task.isThrottled = false;
    task.secondsToMove = -1;
    task.secondsSinceCheckpoint = 0;
    this->queue.push(task.arrival.task, at(second));
    this->waiting.insert_or_assign(task.arrival.task.job, Waiting { task, second });
}

void PolicyRun::discardLostWork(RunningTask &task, int second)
{
    const double lost = task.doneSeconds - task.checkpointedSeconds;
    task.doneSeconds = task.checkpointedSeconds;
    if (this->isMeasured(second)) {
        this->totals.lostCoreHours += coreHours(task.arrival, lost);
        this->totals.batchCoreHours -= coreHours(task.arrival, lost);
    }
}

std::vector<double> PolicyRun::serviceLoads(int second) const
{
    std::vector<double> loads;
    for (std::size_t service = 0; service < this->model.services().size(); ++service) {
        const double live = std::max(1, this->liveReplicas[service]);
        const double spread = this->model.services()[service].replicas / live;
        loads.push_back(this->model.serviceLoad(service, second) * spread);
    }
    return loads;
}

void PolicyRun::measureServices(placement::WorkerSlot slot, const std::vector<double> &loads,
                                int second)
{
    if (!this->isMeasured(second)) {
        return;
    }
    for (const std::size_t service : this->workers[slot].services()) {
        const double slowdown = this->workers[slot].slowdown(this->model, service, loads[service]);
        this->latency.add(slowdown, loads[service]);
    }
}

bool PolicyRun::isMeasured(int second) const
{
    return second >= warmUpSeconds;
}

RunResult PolicyRun::result()
{
    this->totals.p50Ms = this->latency.quantileMs(0.5);
    this->totals.p99Ms = this->latency.quantileMs(0.99);
    this->totals.p999Ms = this->latency.quantileMs(0.999);
    this->totals.lateShare = this->latency.lateShare();
    std::sort(this->urgentWaits.begin(), this->urgentWaits.end());
    if (!this->urgentWaits.empty()) {
        const auto index =
                static_cast<std::size_t>(0.99 * static_cast<double>(this->urgentWaits.size() - 1));
        this->totals.urgentWaitP99Seconds = this->urgentWaits[index];
    }
    return this->totals;
}

} // namespace bulrush::bench
