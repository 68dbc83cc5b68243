#include "DecisionMeasures.h"

#include "Meters.h"

#include "bulrush_core/errors/Error.h"
#include "bulrush_placement/bulrush_placement.h"
#include "bulrush_routing/bulrush_routing.h"

#include <array>
#include <random>
#include <string>

namespace bulrush::bench {

namespace {

constexpr std::array<std::size_t, 3> targetCounts { 65, 400, 1'000 };
constexpr std::array<std::size_t, 3> workerCounts { 65, 400, 1'900 };
constexpr std::size_t requestCount = 20'000;
constexpr std::size_t placementCount = 1'000;
constexpr std::size_t tasksPerWorker = 30;
constexpr std::size_t workersPerRack = 11;
constexpr int classCount = 200;
constexpr int serviceCount = 40;
constexpr int runs = 3;

void serveRequests(routing::Router &router, Instant &now, std::uint64_t &number)
{
    for (std::size_t count = 0; count < requestCount; ++count) {
        now += microseconds(50);
        router.tick(now);
        router.arrived({ routing::RequestId(++number), now + milliseconds(300) }, now);
        for (const routing::Action &action : router.takeActions()) {
            if (const auto *send = std::get_if<routing::Send>(&action)) {
                router.sendStarted(send->attempt);
                router.answerHead(send->attempt, {}, now);
                router.answerComplete(send->attempt, now);
            }
        }
    }
}

void measureRequests(SeriesSet &set)
{
    for (const std::size_t targets : targetCounts) {
        const std::size_t before = heapBytes();
        routing::Router router(routing::RouterSettings { DataCentreId("dc-1") });
        for (std::size_t target = 0; target < targets; ++target) {
            router.putTarget(
                    { TargetId("executor-" + std::to_string(target)), DataCentreId("dc-1"), 8, 7 });
        }
        const auto size = static_cast<double>(targets);
        set.add("heap of targets", "B", "targets",
                { size, static_cast<double>(heapBytes() - before) });
        Instant now { hours(1) };
        std::uint64_t number = 0;
        const double micros = minMicros(runs, [&] { serveRequests(router, now, number); });
        set.add("request routed", "us", "targets", { size, micros / requestCount });
    }
}

placement::TaskView batchTask(std::mt19937_64 &random, std::size_t number)
{
    placement::TaskView task;
    task.job = JobId("job-" + std::to_string(number));
    task.batchClass = BatchClassId("class-" + std::to_string(random() % classCount));
    task.team = TeamId("team-" + std::to_string(random() % 86));
    task.declared = { static_cast<std::int64_t>(500 + random() % 2'000),
                      static_cast<std::int64_t>(1'000 + random() % 8'000), 0 };
    return task;
}

/** Workers that each run 30 tasks, and interference estimates for every pair of service and batch
    class. */
struct LoadedWorkers
{
    LoadedWorkers(std::size_t workers, std::uint64_t seed);

    void place();

    std::mt19937_64 random;
    placement::WorkerTable table;
    placement::UsageModel usage;
    interference::PairEstimates pairs;
    placement::PlacementPolicy policy { placement::Strategy::Learned, {}, {} };
};

LoadedWorkers::LoadedWorkers(std::size_t workers, std::uint64_t seed)
    : random(seed)
{
    for (int service = 0; service < serviceCount; ++service) {
        for (int kind = 0; kind < classCount; ++kind) {
            const BatchClassId batchClass("class-" + std::to_string(kind));
            const std::array shares { interference::ClassShare { batchClass, 0.1 } };
            this->pairs.observe(ServiceId("service-" + std::to_string(service)), shares, 1.2, {});
        }
    }
    for (std::size_t worker = 0; worker < workers; ++worker) {
        placement::WorkerView view;
        view.id = VmId("vm-" + std::to_string(worker));
        view.rack = "rack-" + std::to_string(worker / workersPerRack);
        view.capacity = { 64'000, 250'000, 0 };
        const auto slot = this->table.add(view);
        for (std::size_t task = 0; task < tasksPerWorker; ++task) {
            this->table.commit(slot, batchTask(this->random, task), this->usage);
        }
    }
}

void LoadedWorkers::place()
{
    for (std::size_t count = 0; count < placementCount; ++count) {
        const placement::TaskView task = batchTask(this->random, count);
        const auto slot =
                this->policy.choose(task, this->table, this->usage, this->pairs, {}, this->random);
        if (slot) {
            this->table.commit(*slot, task, this->usage);
            this->table.release(*slot, task, this->usage);
        }
    }
}

void measurePlacements(SeriesSet &set, std::uint64_t seed)
{
    for (const std::size_t workers : workerCounts) {
        const std::size_t before = heapBytes();
        LoadedWorkers full(workers, seed);
        const auto size = static_cast<double>(workers);
        set.add("heap of workers", "B", "workers of 30 tasks",
                { size, static_cast<double>(heapBytes() - before) });
        const double micros = minMicros(runs, [&full] { full.place(); });
        set.add("task placed", "us", "workers of 30 tasks", { size, micros / placementCount });
    }
}

} // namespace

std::vector<Series> measureDecisions(std::uint64_t seed)
{
    SeriesSet set("decisions");
    measureRequests(set);
    measurePlacements(set, seed);
    return set.take();
}

} // namespace bulrush::bench
