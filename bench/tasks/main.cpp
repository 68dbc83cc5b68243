/**
    bench_tasks: recovery of all groups' state at the target's size, the cost of a tick there, and
    what starts and ends cost in the log.
*/

#include "Fleet.h"

#include "explorer/World.h"

#include <unistd.h>

#include <chrono>
#include <fstream>
#include <iostream>

namespace {

using namespace bulrush;
using Watch = std::chrono::steady_clock;

double millisecondsSince(Watch::time_point start)
{
    return std::chrono::duration<double, std::milli>(Watch::now() - start).count();
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
    const auto start = Watch::now();
    fleet.takeOver();
    const double takenOver = millisecondsSince(start);
    fleet.takeInventories();
    const double recovered = millisecondsSince(start);
    std::cout << "recovery: " << Fleet::groupCount << " groups, "
              << Fleet::groupCount * Fleet::workersPerGroup << " workers, "
              << Fleet::groupCount * Fleet::tasksPerGroup << " running tasks, "
              << fleet.ownedCount() << " owned\n  snapshots "
              << static_cast<double>(fleet.snapshotBytes()) / 1e6 << " MB, taken over in "
              << takenOver << " ms, with inventories in " << recovered << " ms, memory +"
              << residentMb() - before << " MB\n";
    constexpr int ticks = 60;
    const auto ticking = Watch::now();
    std::size_t actions = 0;
    for (int count = 0; count < ticks; ++count) {
        actions += fleet.tick(milliseconds(200));
    }
    const double perGroup = millisecondsSince(ticking) * 1000 / ticks / Fleet::groupCount;
    std::cout << "  tick with a backlog of " << Fleet::backlogJobs << " jobs: " << perGroup
              << " us a group (" << actions << " actions in " << ticks << " ticks)\n";
}

/** Runs groups that start and end tasks steadily, and prints the log's share of each. */
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
              << " appends/s a group, " << groupBytes / starts
              << " bytes a start with its end and checkpoints\n  work stream "
              << workAppends / groupCount / span << " appends/s a group, " << workBytes / starts
              << " bytes a start\n";
}

} // namespace

int main()
{
    measureRecovery();
    measureLog(bulrush::milliseconds(500), bulrush::milliseconds(500));
    measureLog(bulrush::seconds(2), bulrush::seconds(5));
    return 0;
}
