#include "GroupMeasures.h"

#include "GroupWorld.h"
#include "Meters.h"

#include <array>

namespace bulrush::bench {

namespace {

constexpr std::array<std::size_t, 3> workerSizes { 11, 44, 176 };
constexpr std::array<std::size_t, 3> taskSizes { 5, 15, 30 };
constexpr std::array<std::size_t, 4> bookSizes { 0, 250, 1'000, 2'000 };
constexpr Duration steadySpan = seconds(60);
constexpr Duration startWarmUp = seconds(240);
constexpr Duration startSpan = seconds(120);

/** 48,000 running batch tasks at 220 starts a second last this long. */
constexpr std::int64_t meanRunMs = 218'000;

double each(double total, std::size_t count)
{
    return count == 0 ? 0 : total / static_cast<double>(count);
}

double each(std::size_t total, std::size_t count)
{
    return each(static_cast<double>(total), count);
}

void measureExchanges(SeriesSet &set, std::uint64_t seed)
{
    for (const std::size_t tasks : taskSizes) {
        GroupWorld world({ 44, tasks, 0, 0, 0 }, seed);
        world.fill();
        const GroupCosts costs = world.run(steadySpan);
        const auto size = static_cast<double>(tasks);
        const std::string by = "tasks of the worker";
        set.add("exchange request", "B", by, { size, each(costs.requestBytes, costs.exchanges) });
        set.add("exchange answer", "B", by, { size, each(costs.answerBytes, costs.exchanges) });
        set.add("exchange request, compact trial", "B", by,
                { size, each(costs.compactRequestBytes, costs.exchanges) });
        set.add("exchange answer, compact trial", "B", by,
                { size, each(costs.compactAnswerBytes, costs.exchanges) });
        set.add("exchange codec", "us", by, { size, each(costs.codecMicros, costs.exchanges) });
        set.add("exchange taken in", "us", by, { size, each(costs.judgeMicros, costs.exchanges) });
    }
}

void measureTicks(SeriesSet &set, std::uint64_t seed)
{
    for (const std::size_t workers : workerSizes) {
        GroupWorld world({ workers, 30, 0, 0, 0 }, seed);
        world.fill();
        const GroupCosts costs = world.run(steadySpan);
        set.add("quiet tick by workers", "us", "workers of 30 tasks in the group",
                { static_cast<double>(workers), each(costs.quietTickMicros, costs.quietTicks) });
    }
    for (const std::size_t jobs : bookSizes) {
        GroupWorld waiting({ 11, 30, 0, jobs, 0 }, seed);
        waiting.fill();
        const GroupCosts costs = waiting.run(steadySpan);
        set.add("quiet tick by waiting jobs", "us", "jobs in the book that wait",
                { static_cast<double>(jobs), each(costs.quietTickMicros, costs.quietTicks) });
        GroupWorld foreign({ 11, 30, 0, 0, jobs }, seed);
        foreign.fill();
        const GroupCosts others = foreign.run(steadySpan);
        set.add("quiet tick by ranges", "us", "task ranges of other groups",
                { static_cast<double>(jobs), each(others.quietTickMicros, others.quietTicks) });
    }
}

void measureStarts(SeriesSet &set, std::uint64_t seed)
{
    const double seconds = std::chrono::duration<double>(startSpan).count();
    for (const std::size_t workers : workerSizes) {
        GroupWorld world({ workers, 30, meanRunMs, 4, 0 }, seed);
        world.fill();
        world.run(startWarmUp);
        const GroupCosts costs = world.run(startSpan);
        const auto starts = static_cast<double>(costs.starts);
        const auto size = static_cast<double>(workers);
        const std::string by = "starts in 120 s";
        set.add("group stream by starts", "B", by,
                { starts, static_cast<double>(costs.groupBytes) });
        set.add("work stream by starts", "B", by, { starts, static_cast<double>(costs.workBytes) });
        set.add("group stream as read by starts", "B", by,
                { starts, static_cast<double>(costs.groupReadBytes) });
        set.add("work stream as read by starts", "B", by,
                { starts, static_cast<double>(costs.workReadBytes) });
        set.add("group stream read by starts", "us", by, { starts, costs.readMicros });
        const std::size_t periodic =
                workers * static_cast<std::size_t>(startSpan / Durations().exchangePeriod);
        set.add("exchanges beyond the period by starts", "", by,
                { starts, static_cast<double>(costs.exchanges) - static_cast<double>(periodic) });
        set.add("processor time by starts", "us", by, { starts, costs.cpuMicros() });
        const std::string byWorkers = "workers of 30 tasks in the group";
        set.add("owner in full churn", "us/s", byWorkers, { size, costs.cpuMicros() / seconds });
        set.add("starts a second", "1/s", byWorkers, { size, starts / seconds });
        set.add("group appends a second", "1/s", byWorkers,
                { size, static_cast<double>(costs.groupAppends) / seconds });
        set.add("work appends a second", "1/s", byWorkers,
                { size, static_cast<double>(costs.workAppends) / seconds });
    }
}

void measureTakeover(SeriesSet &set, std::uint64_t seed)
{
    for (const std::size_t workers : workerSizes) {
        GroupWorld world({ workers, 30, 0, 0, 0 }, seed);
        world.fill();
        const double tasks = static_cast<double>(world.runningTasks());
        const std::string by = "running tasks of the group";
        const std::string snapshot = world.owner().state().snapshot(1);
        set.add("snapshot", "B", by, { tasks, static_cast<double>(snapshot.size()) });
        set.add("snapshot read", "us", by,
                { tasks, leastMicros(3, [&snapshot] { GroupState::snapshotIn(snapshot); }) });
        const GroupCosts costs = world.takeOver();
        set.add("takeover", "us", by, { tasks, costs.cpuMicros() });
        set.add("heap of an owner", "B", by, { tasks, static_cast<double>(costs.ownerHeapBytes) });
        set.add("takeover exchanges", "B", by,
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
