#include "DecisionTime.h"

#include "bulrush_placement/bulrush_placement.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <string>

namespace bulrush::bench {

namespace {

constexpr std::array<std::size_t, 3> workerCounts { 65, 400, 1'900 };
constexpr double tasksPerWorker = 58'000.0 / 1'900.0;
constexpr int servicesPerWorker = 5;
constexpr int serviceCount = 40;
constexpr int classCount = 200;
constexpr int teamCount = 86;
constexpr int backlog = 30'000;
constexpr int decisions = 5'000;

using Stopwatch = std::chrono::steady_clock;

double microseconds(Stopwatch::duration span)
{
    return std::chrono::duration<double, std::micro>(span).count();
}

double quantile(std::vector<double> values, double fraction)
{
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
}

/** A worker table with as many tasks per worker as the target system, and a harm estimate for every
    pair of service and batch class. */
struct FullTable
{
    explicit FullTable(std::size_t workerCount);

    placement::TaskView task(std::size_t index);

    std::mt19937_64 random { 1 };
    placement::WorkerTable table;
    placement::UsageModel usage;
    interference::PairEstimates pairs;
    std::size_t tasks = 0;
};

placement::TaskView FullTable::task(std::size_t index)
{
    placement::TaskView task;
    task.job = JobId("job-" + std::to_string(index));
    task.batchClass = BatchClassId("class-" + std::to_string(this->random() % classCount));
    task.declared = { static_cast<std::int64_t>(500 + this->random() % 2'000),
                      static_cast<std::int64_t>(1'000 + this->random() % 8'000), 0 };
    task.team = TeamId("team-" + std::to_string(this->random() % teamCount));
    return task;
}

FullTable::FullTable(std::size_t workerCount)
{
    for (std::size_t index = 0; index < workerCount; ++index) {
        placement::WorkerView view;
        view.id = VmId("vm-" + std::to_string(index));
        view.rack = "rack-" + std::to_string(index / 11);
        view.capacity = { 64'000, 250'000, 0 };
        const auto slot = this->table.add(view);
        for (int replica = 0; replica < servicesPerWorker; ++replica) {
            placement::TaskView service;
            service.kind = placement::TaskKind::Service;
            service.service = ServiceId("service-" + std::to_string(this->random() % serviceCount));
            service.declared = { 3'000, 10'000, 0 };
            this->table.commit(slot, service, this->usage);
        }
    }
    for (int service = 0; service < serviceCount; ++service) {
        for (int kind = 0; kind < classCount; ++kind) {
            const std::array shares { interference::ClassShare {
                    BatchClassId("class-" + std::to_string(kind)), 0.1 } };
            this->pairs.observe(ServiceId("service-" + std::to_string(service)), shares, 1.2, {});
            this->usage.observe(BatchClassId("class-" + std::to_string(kind)), { 100, 100, 0 },
                                { 90, 80, 0 });
        }
    }
    const auto wantedTasks =
            static_cast<std::size_t>(static_cast<double>(workerCount) * tasksPerWorker);
    const placement::PlacementPolicy fillPolicy(placement::Strategy::RandomFit, {}, {});
    for (this->tasks = workerCount * servicesPerWorker; this->tasks < wantedTasks; ++this->tasks) {
        const placement::TaskView next = this->task(this->tasks);
        const auto slot =
                fillPolicy.choose(next, this->table, this->usage, this->pairs, {}, this->random);
        if (slot) {
            this->table.commit(*slot, next, this->usage);
        }
    }
}

double measurePop(FullTable &full)
{
    placement::ReadyQueue queue;
    placement::QuotaTable quotas;
    for (int team = 0; team < teamCount; ++team) {
        quotas.setQuota(TeamId("team-" + std::to_string(team)), { 1LL << 40, 1LL << 40, 0 });
    }
    for (int index = 0; index < backlog; ++index) {
        queue.push(full.task(static_cast<std::size_t>(index)), {});
    }
    std::vector<double> times;
    for (int index = 0; index < decisions; ++index) {
        const auto before = Stopwatch::now();
        const auto queued = queue.pop(quotas, {});
        times.push_back(microseconds(Stopwatch::now() - before));
        quotas.acquire(queued->task.team, queued->task.declared);
    }
    return quantile(times, 0.5);
}

DecisionTime measure(std::size_t workerCount)
{
    FullTable full(workerCount);
    const placement::PlacementPolicy policy(placement::Strategy::Learned, {}, {});
    std::vector<double> times;
    for (int index = 0; index < decisions; ++index) {
        const placement::TaskView task = full.task(static_cast<std::size_t>(index));
        const auto before = Stopwatch::now();
        const auto slot = policy.choose(task, full.table, full.usage, full.pairs, {}, full.random);
        if (slot) {
            full.table.commit(*slot, task, full.usage);
        }
        times.push_back(microseconds(Stopwatch::now() - before));
        if (slot) {
            full.table.release(*slot, task, full.usage);
        }
    }
    return { workerCount, full.tasks, quantile(times, 0.5), quantile(times, 0.99),
             measurePop(full) };
}

} // namespace

std::vector<DecisionTime> measureDecisionTimes()
{
    std::vector<DecisionTime> times;
    for (const std::size_t workerCount : workerCounts) {
        times.push_back(measure(workerCount));
    }
    return times;
}

} // namespace bulrush::bench
