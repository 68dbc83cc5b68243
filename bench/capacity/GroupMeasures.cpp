#include "GroupMeasures.h"

#include "GroupSimulation.h"
#include "Meters.h"

#include <array>

namespace bulrush::bench {

namespace {

constexpr std::array<std::size_t, 3> workerSizes { 11, 44, 176 };
constexpr std::array<std::size_t, 3> taskSizes { 5, 15, 30 };
constexpr std::array<std::size_t, 4> backlogSizes { 0, 250, 1'000, 2'000 };
constexpr Duration steadyDuration = seconds(60);
constexpr Duration warmUpDuration = seconds(240);
constexpr Duration churnDuration = seconds(120);

/** Mean run time of a batch task when 48,000 tasks run and 220 start per second. */
constexpr std::int64_t meanRunMs = 218'000;

double mean(double total, std::size_t count)
{
    return count == 0 ? 0 : total / static_cast<double>(count);
}

double mean(std::size_t total, std::size_t count)
{
    return mean(static_cast<double>(total), count);
}

void measureExchanges(SeriesSet &set, std::uint64_t seed)
{
    for (const std::size_t tasks : taskSizes) {
        GroupSimulation simulation({ 44, tasks, 0, 0, 0 }, seed);
        simulation.fill();
        const GroupCosts costs = simulation.run(steadyDuration);
        const auto size = static_cast<double>(tasks);
        const std::string sizeName = "tasks of the worker";
        set.add("exchange request", "B", sizeName,
                { size, mean(costs.requestBytes, costs.exchanges) });
        set.add("exchange answer", "B", sizeName,
                { size, mean(costs.answerBytes, costs.exchanges) });
        set.add("exchange request, compact trial", "B", sizeName,
                { size, mean(costs.compactRequestBytes, costs.exchanges) });
        set.add("exchange answer, compact trial", "B", sizeName,
                { size, mean(costs.compactAnswerBytes, costs.exchanges) });
        set.add("exchange codec", "us", sizeName,
                { size, mean(costs.codecMicros, costs.exchanges) });
        set.add("exchange taken in", "us", sizeName,
                { size, mean(costs.answerHandlingMicros, costs.exchanges) });
    }
}

void measureTicks(SeriesSet &set, std::uint64_t seed)
{
    for (const std::size_t workers : workerSizes) {
        GroupSimulation simulation({ workers, 30, 0, 0, 0 }, seed);
        simulation.fill();
        const GroupCosts costs = simulation.run(steadyDuration);
        set.add("quiet tick by workers", "us", "workers of 30 tasks in the group",
                { static_cast<double>(workers), mean(costs.quietTickMicros, costs.quietTicks) });
    }
    for (const std::size_t jobs : backlogSizes) {
        GroupSimulation waiting({ 11, 30, 0, jobs, 0 }, seed);
        waiting.fill();
        const GroupCosts costs = waiting.run(steadyDuration);
        set.add("quiet tick by waiting jobs", "us", "jobs in the book that wait",
                { static_cast<double>(jobs), mean(costs.quietTickMicros, costs.quietTicks) });
        GroupSimulation foreign({ 11, 30, 0, 0, jobs }, seed);
        foreign.fill();
        const GroupCosts foreignCosts = foreign.run(steadyDuration);
        set.add("quiet tick by ranges", "us", "task ranges of other groups",
                { static_cast<double>(jobs),
                  mean(foreignCosts.quietTickMicros, foreignCosts.quietTicks) });
    }
}

void measureStarts(SeriesSet &set, std::uint64_t seed)
{
    const double seconds = std::chrono::duration<double>(churnDuration).count();
    for (const std::size_t workers : workerSizes) {
        GroupSimulation simulation({ workers, 30, meanRunMs, 4, 0 }, seed);
        simulation.fill();
        simulation.run(warmUpDuration);
        const GroupCosts costs = simulation.run(churnDuration);
        const auto starts = static_cast<double>(costs.starts);
        const auto size = static_cast<double>(workers);
        const std::string sizeName = "starts in 120 s";
        set.add("group stream by starts", "B", sizeName,
                { starts, static_cast<double>(costs.groupBytes) });
        set.add("work stream by starts", "B", sizeName,
                { starts, static_cast<double>(costs.workBytes) });
        set.add("group stream as read by starts", "B", sizeName,
                { starts, static_cast<double>(costs.groupReadBytes) });
        set.add("work stream as read by starts", "B", sizeName,
                { starts, static_cast<double>(costs.workReadBytes) });
        set.add("group stream read by starts", "us", sizeName, { starts, costs.readMicros });
        const std::size_t periodicExchanges =
                workers * static_cast<std::size_t>(churnDuration / Durations().exchangePeriod);
        set.add("exchanges beyond the period by starts", "", sizeName,
                { starts,
                  static_cast<double>(costs.exchanges) - static_cast<double>(periodicExchanges) });
        set.add("processor time by starts", "us", sizeName, { starts, costs.cpuMicros() });
        const std::string workersSizeName = "workers of 30 tasks in the group";
        set.add("owner in full churn", "us/s", workersSizeName,
                { size, costs.cpuMicros() / seconds });
        set.add("starts a second", "1/s", workersSizeName, { size, starts / seconds });
        set.add("group appends a second", "1/s", workersSizeName,
                { size, static_cast<double>(costs.groupAppends) / seconds });
        set.add("work appends a second", "1/s", workersSizeName,
                { size, static_cast<double>(costs.workAppends) / seconds });
    }
}

void measureTakeover(SeriesSet &set, std::uint64_t seed)
{
    for (const std::size_t workers : workerSizes) {
        GroupSimulation simulation({ workers, 30, 0, 0, 0 }, seed);
        simulation.fill();
        const double tasks = static_cast<double>(simulation.runningTasks());
        const std::string sizeName = "running tasks of the group";
        const std::string snapshot = simulation.owner().state().snapshot(1);
        set.add("snapshot", "B", sizeName, { tasks, static_cast<double>(snapshot.size()) });
        set.add("snapshot read", "us", sizeName,
                { tasks, minMicros(3, [&snapshot] { GroupState::decodeSnapshot(snapshot); }) });
        const GroupCosts costs = simulation.takeOver();
        set.add("takeover", "us", sizeName, { tasks, costs.cpuMicros() });
        set.add("heap of an owner", "B", sizeName,
                { tasks, static_cast<double>(costs.ownerHeapBytes) });
        set.add("takeover exchanges", "B", sizeName,
                { tasks, static_cast<double>(costs.requestBytes + costs.answerBytes) });
    }
}

} // namespace

std::vector<Series> measureGroupOwner(std::uint64_t seed)
{
    SeriesSet set("group owner");
    measureExchanges(set, seed);
    measureTicks(set, seed);
    measureStarts(set, seed);
    measureTakeover(set, seed);
    return set.take();
}

} // namespace bulrush::bench
