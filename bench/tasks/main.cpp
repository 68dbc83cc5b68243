/**
    bench_tasks: measures the recovery of all groups' state at the target size, the cost of a
    tick at that size, and the log traffic of task starts and ends.
*/

#include "Fleet.h"

#include "explorer/World.h"

#include <unistd.h>

#include <chrono>
#include <fstream>
#include <iostream>

namespace {

using namespace bulrush;
using Stopwatch = std::chrono::steady_clock;

double millisecondsSince(Stopwatch::time_point start)
{
    return std::chrono::duration<double, std::milli>(Stopwatch::now() - start).count();
}

double residentMb()
{
    std::ifstream file("/proc/self/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

void measureRecovery()
{
    Fleet fleet;
    const double before = residentMb();
    const auto start = Stopwatch::now();
    fleet.takeOver();
    const double takenOver = millisecondsSince(start);
    fleet.applyInventories();
    const double recovered = millisecondsSince(start);
    std::cout << "recovery: " << Fleet::groupCount << " groups, "
              << Fleet::groupCount * Fleet::workersPerGroup << " workers, "
              << Fleet::groupCount * Fleet::tasksPerGroup << " running tasks, "
              << fleet.ownedCount() << " owned\n  snapshots "
              << static_cast<double>(fleet.snapshotBytes()) / 1e6 << " MB, taken over in "
              << takenOver << " ms, with inventories in " << recovered << " ms, memory +"
              << residentMb() - before << " MB\n";
    constexpr int ticks = 60;
    const auto ticking = Stopwatch::now();
    std::size_t actions = 0;
    for (int count = 0; count < ticks; ++count) {
        actions += fleet.tick(milliseconds(200));
    }
    const double perGroup = millisecondsSince(ticking) * 1000 / ticks / Fleet::groupCount;
    std::cout << "  tick with a backlog of " << Fleet::backlogJobs << " jobs: " << perGroup
              << " us per group (" << actions << " actions in " << ticks << " ticks)\n";
}

/** Runs groups with a steady rate of task starts and ends, and prints the log traffic per start. */
void measureLog(Duration batchInterval, Duration operationInterval)
{
    explorer::WorldOptions options;
    options.durations.batchInterval = batchInterval;
    options.durations.operationInterval = operationInterval;
    options.groups.clear();
    constexpr int groupCount = 20;
    for (int index = 0; index < groupCount; ++index) {
        options.groups.push_back("rack-" + std::to_string(index));
    }
    explorer::World world(options);
    for (const GroupId &group : world.groupIds()) {
        world.addWorker(group, { 16'000, 250'000, 0 });
        world.addWorker(group, { 16'000, 250'000, 0 });
        world.assign(group, NodeId("n1"));
    }
    for (std::int64_t job = 0; job < 60; ++job) {
        world.addJob({ JobId("reassessment-" + std::to_string(job)),
                       TeamId("team"),
                       TaskKind::Batch,
                       200,
                       { 1000, 1000, 0 },
                       13'000 + job * 700,
                       false });
    }
    world.run(seconds(60));
    const auto startsBefore = world.checker().startCount();
    const auto groupBefore = world.platformLog().totals("group/");
    const auto workBefore = world.platformLog().totals("work");
    constexpr int span = 120;
    world.run(seconds(span));
    const auto starts = static_cast<double>(world.checker().startCount() - startsBefore);
    const auto groupAfter = world.platformLog().totals("group/");
    const auto workAfter = world.platformLog().totals("work");
    const double groupAppends = static_cast<double>(groupAfter.records - groupBefore.records);
    const double workAppends = static_cast<double>(workAfter.records - workBefore.records);
    const double groupBytes = static_cast<double>(groupAfter.bytes - groupBefore.bytes);
    const double workBytes = static_cast<double>(workAfter.bytes - workBefore.bytes);
    std::cout << "log: batches every " << duration_cast<milliseconds>(batchInterval).count()
              << " ms, operations every " << duration_cast<milliseconds>(operationInterval).count()
              << " ms, " << groupCount << " groups, " << starts / span
              << " starts/s\n  group streams " << groupAppends / groupCount / span
              << " appends/s per group, " << groupBytes / starts
              << " bytes per start, including its end and checkpoints\n  work stream "
              << workAppends / groupCount / span << " appends/s per group, " << workBytes / starts
              << " bytes per start\n";
}

} // namespace

int main()
{
    measureRecovery();
    measureLog(bulrush::milliseconds(500), bulrush::milliseconds(500));
    measureLog(bulrush::seconds(2), bulrush::seconds(5));
    return 0;
}
