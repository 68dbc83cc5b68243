#include "standins/target/AttemptRegistry.h"
#include "standins/target/ExecutorSlots.h"

#include <criterion/criterion.h>

#include <stdexcept>

using namespace bulrush::standins;

namespace {

const Resources capacity { 4000, 1000, 1 };
const AttemptId t1 { "t1", 1 };

StartCommand startCommand(const AttemptId &id, TaskKind kind = TaskKind::Batch)
{
    return { id, kind, { 1000, 100, 0 }, 10'000, 5000, "" };
}

ExchangeRequest request(std::uint64_t epoch, std::uint64_t sequence)
{
    ExchangeRequest exchange;
    exchange.node = "n1";
    exchange.group = "g1";
    exchange.token = { epoch, sequence };
    return exchange;
}

ExchangeRequest starting(std::uint64_t sequence, const StartCommand &command)
{
    ExchangeRequest exchange = request(1, sequence);
    exchange.start.push_back(command);
    return exchange;
}

InventoryEntry onlyEntry(const ExchangeAnswer &answer)
{
    cr_assert_eq(answer.inventory.size(), 1U);
    return answer.inventory.at(0);
}

} // namespace

Test(AttemptRegistry, batchTaskEndsAfterItsRunTime)
{
    AttemptRegistry registry(capacity, "p1");
    const InventoryEntry started =
            onlyEntry(registry.exchange(starting(1, startCommand(t1)), 1000));
    cr_assert(started.state == TaskState::Running);
    cr_assert_eq(started.epoch, 1U);
    cr_assert_eq(started.usageCpuMilli, 1000);
    const InventoryEntry early = onlyEntry(registry.exchange(request(1, 2), 5999));
    cr_assert(early.state == TaskState::Running);
    const InventoryEntry ended = onlyEntry(registry.exchange(request(1, 3), 9000));
    cr_assert(ended.state == TaskState::Finished);
    cr_assert_eq(ended.checkpoint, "5000");
    cr_assert_eq(ended.result, "ok");
    cr_assert_eq(registry.runs(9000).at(0).endedMs, 6000);
}

Test(AttemptRegistry, oldTokensChangeNothing)
{
    AttemptRegistry registry(capacity, "p1");
    registry.exchange(request(2, 5), 0);
    for (const ExchangeRequest &stale :
         { starting(9, startCommand(t1)), request(2, 5), request(2, 4) }) {
        const ExchangeAnswer answer = registry.exchange(stale, 0);
        cr_assert_not(answer.accepted);
        cr_assert_eq(answer.token.epoch, 2U);
        cr_assert_eq(answer.token.sequence, 5U);
        cr_assert(answer.inventory.empty());
    }
    cr_assert(registry.exchange(request(3, 1), 0).accepted);
}

Test(AttemptRegistry, appliesAStartOnce)
{
    AttemptRegistry registry(capacity, "p1");
    registry.exchange(starting(1, startCommand(t1)), 0);
    registry.exchange(starting(2, startCommand(t1)), 100);
    ExchangeRequest forget = request(1, 3);
    forget.forget.push_back(t1);
    cr_assert(registry.exchange(forget, 6000).inventory.empty());
    cr_assert(registry.exchange(starting(4, startCommand(t1)), 6000).inventory.empty());
    cr_assert_eq(registry.runs(6000).size(), 1U);
}

Test(AttemptRegistry, doesNotForgetRunningAttempts)
{
    AttemptRegistry registry(capacity, "p1");
    registry.exchange(starting(1, startCommand(t1)), 0);
    ExchangeRequest forget = request(1, 2);
    forget.forget.push_back(t1);
    cr_assert_eq(registry.exchange(forget, 100).inventory.size(), 1U);
}

Test(AttemptRegistry, refusesAndCountsStartsBeyondCapacity)
{
    AttemptRegistry registry(capacity, "p1");
    ExchangeRequest exchange = request(1, 1);
    for (std::uint64_t attempt = 1; attempt <= 5; ++attempt) {
        exchange.start.push_back(startCommand({ "t", attempt }));
    }
    const ExchangeAnswer answer = registry.exchange(exchange, 0);
    cr_assert_eq(registry.overCommits(), 1U);
    cr_assert(answer.inventory.at(3).state == TaskState::Running);
    cr_assert(answer.inventory.at(4).state == TaskState::Failed);
    cr_assert_eq(answer.inventory.at(4).result, "over capacity");
}

Test(AttemptRegistry, stopFreesCapacityForAStartInTheSameExchange)
{
    AttemptRegistry registry({ 1000, 100, 0 }, "p1");
    registry.exchange(starting(1, startCommand(t1)), 0);
    ExchangeRequest replace = starting(2, startCommand({ "t2", 1 }));
    replace.stop.push_back(t1);
    const ExchangeAnswer answer = registry.exchange(replace, 10);
    cr_assert(answer.inventory.at(0).state == TaskState::Stopped);
    cr_assert(answer.inventory.at(1).state == TaskState::Running);
    cr_assert_eq(registry.overCommits(), 0U);
}

Test(AttemptRegistry, unrenewedLeaseLapses)
{
    AttemptRegistry registry(capacity, "p1");
    registry.exchange(starting(1, startCommand(t1, TaskKind::Watcher)), 0);
    const RenewCommand renewal { t1, 10'000 };
    cr_assert_eq(registry.renew({ &renewal, 1 }, 9000), 1U);
    cr_assert(onlyEntry(registry.exchange(request(1, 2), 18'999)).state == TaskState::Running);
    cr_assert(onlyEntry(registry.exchange(request(1, 3), 30'000)).state == TaskState::Lapsed);
    cr_assert_eq(registry.runs(30'000).at(0).endedMs, 19'000);
    cr_assert_eq(registry.renew({ &renewal, 1 }, 30'000), 0U);
}

Test(AttemptRegistry, renewalAfterTheLapseHasNoEffect)
{
    AttemptRegistry registry(capacity, "p1");
    registry.exchange(starting(1, startCommand(t1, TaskKind::Service)), 0);
    ExchangeRequest late = request(1, 2);
    late.renew.push_back({ t1, 10'000 });
    cr_assert(onlyEntry(registry.exchange(late, 10'000)).state == TaskState::Lapsed);
}

Test(AttemptRegistry, nextAttemptResumesAtTheCheckpoint)
{
    AttemptRegistry registry(capacity, "p1");
    registry.exchange(starting(1, startCommand(t1)), 0);
    ExchangeRequest evict = request(1, 2);
    evict.checkpoint.push_back(t1);
    evict.stop.push_back(t1);
    const InventoryEntry evicted = onlyEntry(registry.exchange(evict, 3000));
    cr_assert(evicted.state == TaskState::Stopped);
    cr_assert_eq(evicted.checkpoint, "3000");
    StartCommand resumed = startCommand({ "t1", 2 });
    resumed.checkpoint = evicted.checkpoint;
    registry.exchange(starting(3, resumed), 4000);
    const RunRecord run = registry.runs(7000).at(1);
    cr_assert(run.state == TaskState::Finished);
    cr_assert_eq(run.endedMs, 6000);
}

Test(AttemptRegistry, throttledBatchWorkSlowsDown)
{
    AttemptRegistry registry(capacity, "p1");
    registry.exchange(starting(1, startCommand(t1)), 0);
    ExchangeRequest slow = request(1, 2);
    slow.throttle.push_back({ t1, 50 });
    cr_assert_eq(onlyEntry(registry.exchange(slow, 1000)).usageCpuMilli, 500);
    const RunRecord run = registry.runs(9500).at(0);
    cr_assert(run.state == TaskState::Finished);
    cr_assert_eq(run.endedMs, 9000);
}

Test(AttemptRegistry, failsStartsWhileConfigured)
{
    AttemptRegistry registry(capacity, "p1");
    registry.failStarts(true);
    cr_assert(onlyEntry(registry.exchange(starting(1, startCommand(t1)), 0)).state
              == TaskState::Failed);
    registry.failStarts(false);
    const ExchangeAnswer answer = registry.exchange(starting(2, startCommand({ "t2", 1 })), 0);
    cr_assert(answer.inventory.at(1).state == TaskState::Running);
    cr_assert_eq(registry.overCommits(), 0U);
}

Test(WorkerMessages, readsAnExchange)
{
    const auto json = nlohmann::json::parse(R"({"node":"n1","group":"g1","epoch":3,"sequence":4,
        "start":[{"task":"t1","attempt":1,"kind":"watcher","cpuMilli":1,"memoryMb":2,
                  "accelerators":3,"leaseMs":4,"runMs":5,"checkpoint":"6"}],
        "throttle":[{"task":"t1","attempt":1,"percent":7}]})");
    const ExchangeRequest exchange = exchangeRequestFrom(json);
    cr_assert_eq(exchange.token.epoch, 3U);
    cr_assert_eq(exchange.token.sequence, 4U);
    cr_assert(exchange.start.at(0).id == t1);
    cr_assert(exchange.start.at(0).kind == TaskKind::Watcher);
    cr_assert_eq(exchange.start.at(0).resources.accelerators, 3);
    cr_assert_eq(exchange.start.at(0).checkpoint, "6");
    cr_assert_eq(exchange.throttle.at(0).percent, 7);
    cr_assert(exchange.stop.empty());
}

Test(WorkerMessages, refusesAnUnknownKind)
{
    const auto json = nlohmann::json::parse(R"({"task":"t1","attempt":1,"kind":"other",
        "cpuMilli":1,"memoryMb":2,"accelerators":3,"leaseMs":4})");
    cr_assert_throw(startCommandFrom(json), std::invalid_argument);
}

Test(ExecutorSlots, refusesWhenAllSlotsAreBusy)
{
    ExecutorSlots slots(2);
    cr_assert_eq(slots.tryAcquire("k1"), 1U);
    cr_assert_eq(slots.tryAcquire("k1"), 2U);
    cr_assert_eq(slots.load(), "2/2");
    cr_assert_eq(slots.tryAcquire("k2"), 0U);
    slots.release();
    cr_assert_eq(slots.tryAcquire(""), 1U);
    cr_assert_eq(slots.served(), 1U);
    cr_assert_eq(slots.refused(), 1U);
    cr_assert_eq(slots.executions().size(), 1U);
    cr_assert_eq(slots.executions().at("k1"), 2U);
}

Test(ExecutorSlots, refusesWhileLeaving)
{
    ExecutorSlots slots(2);
    slots.setLeaving(true);
    cr_assert_eq(slots.tryAcquire("k1"), 0U);
    slots.setLeaving(false);
    cr_assert_eq(slots.tryAcquire("k1"), 1U);
}

Test(AttemptRegistry, expiredExchangeStartsNothing)
{
    AttemptRegistry registry(capacity, "p1");
    ExchangeRequest late = starting(1, startCommand(t1));
    late.validUntilMs = 999;
    cr_assert(registry.exchange(late, 1000).inventory.empty());
}

Test(AttemptRegistry, exchangeForAnotherIncarnationStartsNothing)
{
    AttemptRegistry registry(capacity, "p1");
    ExchangeRequest misdirected = starting(1, startCommand(t1));
    misdirected.incarnation = "p0";
    cr_assert(registry.exchange(misdirected, 1000).inventory.empty());
}

Test(AttemptRegistry, sequenceZeroOnlyRenews)
{
    AttemptRegistry registry(capacity, "p1");
    registry.exchange(starting(5, startCommand(t1)), 1000);
    ExchangeRequest renewing = request(1, 0);
    renewing.stop.push_back(t1);
    renewing.renew.push_back({ t1, 60'000 });
    const ExchangeAnswer answer = registry.exchange(renewing, 2000);
    cr_assert(answer.accepted);
    cr_assert(onlyEntry(answer).state == TaskState::Running);
    cr_assert_eq(answer.token.sequence, 5U);
}
