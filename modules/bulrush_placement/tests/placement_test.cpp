#include "PlacementWorld.h"

#include "bulrush_core/errors/Error.h"

#include <criterion/criterion.h>

using namespace bulrush;
using namespace bulrush::placement;

namespace {

TaskView batchTask(std::string_view job, std::string_view batchClass, std::int64_t cpuMilli)
{
    TaskView task;
    task.job = JobId(job);
    task.batchClass = BatchClassId(batchClass);
    task.declared = { cpuMilli, 100, 0 };
    return task;
}

WorkerView worker(std::string_view name, std::string_view rack)
{
    WorkerView view;
    view.id = VmId(name);
    view.rack = std::string(rack);
    view.capacity = { 10'000, 10'000, 0 };
    return view;
}

TaskView replica(std::string_view job, std::string_view service)
{
    TaskView task;
    task.job = JobId(job);
    task.kind = TaskKind::Service;
    task.service = ServiceId(service);
    task.declared = { 1'000, 100, 0 };
    return task;
}

/** A worker table with the models that the policy uses. */
struct PlacementFixture
{
    std::optional<WorkerSlot> choose(const TaskView &task, const Mechanisms &mechanisms = {})
    {
        const PlacementPolicy policy(Strategy::Learned, mechanisms, {});
        return policy.choose(task, this->table, this->usage, this->pairs, {}, this->random);
    }

    WorkerTable table;
    UsageModel usage;
    interference::PairEstimates pairs;
    std::mt19937_64 random { 3 };
};

} // namespace

Test(Scenarios, allPass)
{
    for (const std::string &path : scenario::scriptsIn(BULRUSH_SOURCE_DIR "/scenarios/placement")) {
        PlacementWorld world;
        scenario::Interpreter interpreter;
        world.bind(interpreter);
        try {
            interpreter.runFile(path);
        } catch (const Error &error) {
            cr_expect(false, "%s", error.what());
        }
    }
}

Test(WorkerTable, neverCommitsBeyondCapacityInAnyOrder)
{
    constexpr int steps = 20'000;
    PlacementFixture fixture;
    fixture.table.add(worker("a", "r1"));
    fixture.table.add(worker("b", "r1"));
    std::vector<std::pair<WorkerSlot, TaskView>> held;
    for (int step = 0; step < steps; ++step) {
        const bool isRelease = !held.empty() && fixture.random() % 3 == 0;
        if (isRelease) {
            const std::size_t index = fixture.random() % held.size();
            fixture.table.release(held[index].first, held[index].second, fixture.usage);
            held.erase(held.begin() + static_cast<std::ptrdiff_t>(index));
        } else {
            TaskView task = batchTask("job", "class", 0);
            task.declared = { static_cast<std::int64_t>(fixture.random() % 4'000),
                              static_cast<std::int64_t>(fixture.random() % 4'000), 0 };
            const WorkerSlot slot = fixture.random() % 2;
            if (fixture.table.commit(slot, task, fixture.usage) == CommitOutcome::Committed) {
                held.emplace_back(slot, task);
            }
        }
        std::array<Resources, 2> sums;
        for (const auto &[slot, task] : held) {
            sums[slot] += task.declared;
        }
        cr_assert(sums[0].fitsIn({ 10'000, 10'000, 0 }));
        cr_assert(sums[1].fitsIn({ 10'000, 10'000, 0 }));
    }
}

Test(PlacementPolicy, ranksFittingWorkersByLearnedUsage)
{
    PlacementFixture fixture;
    fixture.table.add(worker("hungry", "r1"));
    fixture.table.add(worker("modest", "r1"));
    fixture.table.commit(0, batchTask("a", "under-declared", 2'000), fixture.usage);
    fixture.table.commit(1, batchTask("b", "over-declared", 4'000), fixture.usage);
    for (int report = 0; report < 20; ++report) {
        fixture.usage.observe(BatchClassId("under-declared"), { 2'000, 100, 0 }, { 9'000, 100, 0 });
        fixture.usage.observe(BatchClassId("over-declared"), { 4'000, 100, 0 }, { 500, 100, 0 });
    }
    fixture.table.refreshExpectedUsage(0, fixture.usage);
    fixture.table.refreshExpectedUsage(1, fixture.usage);
    cr_assert_eq(*fixture.choose(batchTask("c", "other", 1'000)), 1U);
    Mechanisms declaredOnly;
    declaredOnly.learnedUsage = false;
    cr_assert_eq(*fixture.choose(batchTask("c", "other", 1'000), declaredOnly), 0U);
}

Test(PlacementPolicy, avoidsAPairWithKnownInterference)
{
    PlacementFixture fixture;
    fixture.table.add(worker("a", "r1"));
    fixture.table.add(worker("b", "r1"));
    fixture.table.commit(0, replica("x", "delicate"), fixture.usage);
    fixture.table.commit(1, replica("y", "robust"), fixture.usage);
    fixture.table.commit(1, batchTask("more", "quiet", 1'000), fixture.usage);
    const std::array shares { interference::ClassShare { BatchClassId("noisy"), 0.3 } };
    for (int report = 0; report < 40; ++report) {
        fixture.pairs.observe(ServiceId("delicate"), shares, 3.0, {});
        fixture.pairs.observe(ServiceId("robust"), shares, 1.0, {});
    }
    cr_assert_eq(*fixture.choose(batchTask("c", "noisy", 1'000)), 1U);
}

Test(PlacementPolicy, defersATaskThatWouldSlowAServiceDownTooMuch)
{
    PlacementFixture fixture;
    fixture.table.add(worker("a", "r1"));
    fixture.table.commit(0, replica("x", "delicate"), fixture.usage);
    const std::array shares { interference::ClassShare { BatchClassId("noisy"), 0.3 } };
    for (int report = 0; report < 40; ++report) {
        fixture.pairs.observe(ServiceId("delicate"), shares, 3.0, {});
    }
    TaskView task = batchTask("c", "noisy", 2'000);
    task.mayWait = true;
    cr_assert_not(fixture.choose(task).has_value());
    task.mayWait = false;
    cr_assert(fixture.choose(task).has_value());
    TaskView mild = batchTask("d", "unknown", 500);
    mild.mayWait = true;
    cr_assert(fixture.choose(mild).has_value());
}

Test(PlacementPolicy, avoidsAServiceThatIsAlreadySlowedDown)
{
    PlacementFixture fixture;
    fixture.table.add(worker("a", "r1"));
    fixture.table.add(worker("b", "r1"));
    fixture.table.commit(0, replica("x", "service"), fixture.usage);
    fixture.table.commit(1, replica("y", "service"), fixture.usage);
    const std::array shares { interference::ClassShare { BatchClassId("noisy"), 0.3 } };
    for (int report = 0; report < 40; ++report) {
        fixture.pairs.observe(ServiceId("service"), shares, 2.0, {});
    }
    fixture.table.commit(0, batchTask("c", "noisy", 1'000), fixture.usage);
    fixture.table.commit(1, batchTask("d", "quiet", 3'000), fixture.usage);
    const std::array quiet { interference::ClassShare { BatchClassId("quiet"), 0.3 } };
    for (int report = 0; report < 40; ++report) {
        fixture.pairs.observe(ServiceId("service"), quiet, 1.0, {});
    }
    fixture.table.refreshAddedSlowdown(0, fixture.usage, fixture.pairs, {});
    fixture.table.refreshAddedSlowdown(1, fixture.usage, fixture.pairs, {});
    cr_assert_eq(*fixture.choose(batchTask("e", "noisy", 1'000)), 1U);
}

Test(PlacementPolicy, spreadsReplicasOfAServiceOverRacks)
{
    PlacementFixture fixture;
    fixture.table.add(worker("a", "r1"));
    fixture.table.add(worker("b", "r1"));
    fixture.table.add(worker("c", "r2"));
    fixture.table.commit(2, batchTask("batch", "class", 3'000), fixture.usage);
    fixture.table.commit(0, replica("x", "service"), fixture.usage);
    cr_assert_eq(*fixture.choose(replica("y", "service")), 2U);
}

Test(PlacementPolicy, findsTheOnlyWorkerWithRoomAmongMany)
{
    PlacementFixture fixture;
    for (int index = 0; index < 1'900; ++index) {
        const WorkerSlot slot = fixture.table.add(worker("vm-" + std::to_string(index), "r1"));
        if (index != 1'234) {
            fixture.table.commit(slot, batchTask("full", "class", 10'000), fixture.usage);
        }
    }
    cr_assert_eq(*fixture.choose(batchTask("c", "class", 1'000)), 1'234U);
}

Test(UsageModel, weighsDeclaredSizesAgainstReports)
{
    UsageModel usage;
    const BatchClassId batchClass("class");
    cr_assert_eq(usage.expected(batchClass, { 1'000, 1'000, 1 }).cpuMilli, 1'000);
    usage.observe(batchClass, { 1'000, 1'000, 0 }, { 2'000, 500, 0 });
    const auto early = usage.expected(batchClass, { 1'000, 1'000, 1 });
    cr_assert(early.cpuMilli > 1'000 && early.cpuMilli < 2'000);
    for (int report = 0; report < 100; ++report) {
        usage.observe(batchClass, { 1'000, 1'000, 0 }, { 2'000, 500, 0 });
    }
    const auto late = usage.expected(batchClass, { 1'000, 1'000, 1 });
    cr_assert(late.cpuMilli > 1'900 && late.memoryMb < 600 && late.accelerators == 1);
}

Test(ReadyQueue, sharesStartsFairlyAmongTeams)
{
    ReadyQueue queue;
    QuotaTable quotas;
    const std::array teams { TeamId("large"), TeamId("small") };
    for (const TeamId &team : teams) {
        quotas.setQuota(team, { 100'000, 100'000, 0 });
    }
    for (int index = 0; index < 100; ++index) {
        TaskView task = batchTask("large-" + std::to_string(index), "class", 100);
        task.team = teams[0];
        queue.push(task, {});
    }
    for (int index = 0; index < 10; ++index) {
        TaskView task = batchTask("small-" + std::to_string(index), "class", 100);
        task.team = teams[1];
        queue.push(task, {});
    }
    int smallTeamStarts = 0;
    for (int start = 0; start < 20; ++start) {
        const auto queued = queue.pop(quotas, {});
        quotas.acquire(queued->task.team, queued->task.declared);
        smallTeamStarts += queued->task.team == teams[1] ? 1 : 0;
    }
    cr_assert_eq(smallTeamStarts, 10);
}

Test(ReadyQueue, keepsTheAgeOfADeferredTaskAndCancelsIt)
{
    ReadyQueue queue;
    QuotaTable quotas;
    quotas.setQuota(TeamId("team"), { 10'000, 10'000, 0 });
    TaskView old = batchTask("old", "class", 100);
    old.team = TeamId("team");
    TaskView young = batchTask("young", "class", 100);
    young.team = TeamId("team");
    queue.push(old, {});
    queue.push(young, Instant(seconds(1)));
    const auto first = queue.pop(quotas, Instant(seconds(2)));
    queue.defer(*first, Instant(seconds(5)));
    cr_assert_eq(queue.size(), 2U);
    cr_assert_not(queue.push(old, Instant(seconds(3))));
    cr_assert_eq(queue.pop(quotas, Instant(seconds(3)))->task.job, JobId("young"));
    cr_assert_not(queue.pop(quotas, Instant(seconds(4))).has_value());
    cr_assert(queue.cancel(JobId("old")));
    cr_assert_not(queue.pop(quotas, Instant(seconds(6))).has_value());
    cr_assert_eq(queue.size(), 0U);
}
