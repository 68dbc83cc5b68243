#include "standins/target/ExecutorSlots.h"
#include "standins/target/WorkerBooks.h"

#include <criterion/criterion.h>

#include <stdexcept>

using namespace bulrush::standins;

namespace {

const Resources capacity { 4000, 1000, 1 };
const AttemptId t1 { "t1", 1 };

StartOrder startOrder(const AttemptId &id, TaskKind kind = TaskKind::Batch)
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

ExchangeRequest starting(std::uint64_t sequence, const StartOrder &order)
{
    ExchangeRequest exchange = request(1, sequence);
    exchange.start.push_back(order);
    return exchange;
}

InventoryEntry onlyEntry(const ExchangeAnswer &answer)
{
    cr_assert_eq(answer.inventory.size(), 1U);
    return answer.inventory.at(0);
}

} // namespace

Test(WorkerBooks, batchTaskEndsAfterItsRunTime)
{
    WorkerBooks books(capacity, "p1");
    const InventoryEntry started = onlyEntry(books.exchange(starting(1, startOrder(t1)), 1000));
    cr_assert(started.state == TaskState::Running);
    cr_assert_eq(started.epoch, 1U);
    cr_assert_eq(started.usageCpuMilli, 1000);
    const InventoryEntry early = onlyEntry(books.exchange(request(1, 2), 5999));
    cr_assert(early.state == TaskState::Running);
    const InventoryEntry ended = onlyEntry(books.exchange(request(1, 3), 9000));
    cr_assert(ended.state == TaskState::Finished);
    cr_assert_eq(ended.checkpoint, "5000");
    cr_assert_eq(ended.result, "ok");
    cr_assert_eq(books.runs(9000).at(0).endedMs, 6000);
}

Test(WorkerBooks, oldTokensChangeNothing)
{
    WorkerBooks books(capacity, "p1");
    books.exchange(request(2, 5), 0);
    for (const ExchangeRequest &stale :
         { starting(9, startOrder(t1)), request(2, 5), request(2, 4) }) {
        const ExchangeAnswer answer = books.exchange(stale, 0);
        cr_assert_not(answer.accepted);
        cr_assert_eq(answer.token.epoch, 2U);
        cr_assert_eq(answer.token.sequence, 5U);
        cr_assert(answer.inventory.empty());
    }
    cr_assert(books.exchange(request(3, 1), 0).accepted);
}

Test(WorkerBooks, appliesAStartOnce)
{
    WorkerBooks books(capacity, "p1");
    books.exchange(starting(1, startOrder(t1)), 0);
    books.exchange(starting(2, startOrder(t1)), 100);
    ExchangeRequest forget = request(1, 3);
    forget.forget.push_back(t1);
    cr_assert(books.exchange(forget, 6000).inventory.empty());
    cr_assert(books.exchange(starting(4, startOrder(t1)), 6000).inventory.empty());
    cr_assert_eq(books.runs(6000).size(), 1U);
}

Test(WorkerBooks, forgetsNothingThatRuns)
{
    WorkerBooks books(capacity, "p1");
    books.exchange(starting(1, startOrder(t1)), 0);
    ExchangeRequest forget = request(1, 2);
    forget.forget.push_back(t1);
    cr_assert_eq(books.exchange(forget, 100).inventory.size(), 1U);
}

Test(WorkerBooks, refusesAndCountsStartsBeyondCapacity)
{
    WorkerBooks books(capacity, "p1");
    ExchangeRequest exchange = request(1, 1);
    for (std::uint64_t attempt = 1; attempt <= 5; ++attempt) {
        exchange.start.push_back(startOrder({ "t", attempt }));
    }
    const ExchangeAnswer answer = books.exchange(exchange, 0);
    cr_assert_eq(books.overCommits(), 1U);
    cr_assert(answer.inventory.at(3).state == TaskState::Running);
    cr_assert(answer.inventory.at(4).state == TaskState::Failed);
    cr_assert_eq(answer.inventory.at(4).result, "over capacity");
}

Test(WorkerBooks, stopFreesCapacityForAStartInTheSameExchange)
{
    WorkerBooks books({ 1000, 100, 0 }, "p1");
    books.exchange(starting(1, startOrder(t1)), 0);
    ExchangeRequest replace = starting(2, startOrder({ "t2", 1 }));
    replace.stop.push_back(t1);
    const ExchangeAnswer answer = books.exchange(replace, 10);
    cr_assert(answer.inventory.at(0).state == TaskState::Stopped);
    cr_assert(answer.inventory.at(1).state == TaskState::Running);
    cr_assert_eq(books.overCommits(), 0U);
}

Test(WorkerBooks, unrenewedLeaseLapses)
{
    WorkerBooks books(capacity, "p1");
    books.exchange(starting(1, startOrder(t1, TaskKind::Watcher)), 0);
    const RenewOrder renewal { t1, 10'000 };
    cr_assert_eq(books.renew({ &renewal, 1 }, 9000), 1U);
    cr_assert(onlyEntry(books.exchange(request(1, 2), 18'999)).state == TaskState::Running);
    cr_assert(onlyEntry(books.exchange(request(1, 3), 30'000)).state == TaskState::Lapsed);
    cr_assert_eq(books.runs(30'000).at(0).endedMs, 19'000);
    cr_assert_eq(books.renew({ &renewal, 1 }, 30'000), 0U);
}

Test(WorkerBooks, renewalInAnExchangeComesTooLateAfterTheLapse)
{
    WorkerBooks books(capacity, "p1");
    books.exchange(starting(1, startOrder(t1, TaskKind::Service)), 0);
    ExchangeRequest late = request(1, 2);
    late.renew.push_back({ t1, 10'000 });
    cr_assert(onlyEntry(books.exchange(late, 10'000)).state == TaskState::Lapsed);
}

Test(WorkerBooks, checkpointIsWhereTheNextAttemptResumes)
{
    WorkerBooks books(capacity, "p1");
    books.exchange(starting(1, startOrder(t1)), 0);
    ExchangeRequest evict = request(1, 2);
    evict.checkpoint.push_back(t1);
    evict.stop.push_back(t1);
    const InventoryEntry evicted = onlyEntry(books.exchange(evict, 3000));
    cr_assert(evicted.state == TaskState::Stopped);
    cr_assert_eq(evicted.checkpoint, "3000");
    StartOrder resumed = startOrder({ "t1", 2 });
    resumed.checkpoint = evicted.checkpoint;
    books.exchange(starting(3, resumed), 4000);
    const RunRecord run = books.runs(7000).at(1);
    cr_assert(run.state == TaskState::Finished);
    cr_assert_eq(run.endedMs, 6000);
}

Test(WorkerBooks, throttledBatchWorkSlowsDown)
{
    WorkerBooks books(capacity, "p1");
    books.exchange(starting(1, startOrder(t1)), 0);
    ExchangeRequest slow = request(1, 2);
    slow.throttle.push_back({ t1, 50 });
    cr_assert_eq(onlyEntry(books.exchange(slow, 1000)).usageCpuMilli, 500);
    const RunRecord run = books.runs(9500).at(0);
    cr_assert(run.state == TaskState::Finished);
    cr_assert_eq(run.endedMs, 9000);
}

Test(WorkerBooks, failsStartsWhileToldSo)
{
    WorkerBooks books(capacity, "p1");
    books.failStarts(true);
    cr_assert(onlyEntry(books.exchange(starting(1, startOrder(t1)), 0)).state == TaskState::Failed);
    books.failStarts(false);
    const ExchangeAnswer answer = books.exchange(starting(2, startOrder({ "t2", 1 })), 0);
    cr_assert(answer.inventory.at(1).state == TaskState::Running);
    cr_assert_eq(books.overCommits(), 0U);
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
    cr_assert_throw(startOrderFrom(json), std::invalid_argument);
}

Test(ExecutorSlots, refusesWhenAllSlotsAreBusy)
{
    ExecutorSlots slots(2);
    cr_assert_eq(slots.tryBegin("k1"), 1U);
    cr_assert_eq(slots.tryBegin("k1"), 2U);
    cr_assert_eq(slots.load(), "2/2");
    cr_assert_eq(slots.tryBegin("k2"), 0U);
    slots.end();
    cr_assert_eq(slots.tryBegin(""), 1U);
    cr_assert_eq(slots.served(), 1U);
    cr_assert_eq(slots.refused(), 1U);
    cr_assert_eq(slots.executions().size(), 1U);
    cr_assert_eq(slots.executions().at("k1"), 2U);
}

Test(ExecutorSlots, refusesWhileLeaving)
{
    ExecutorSlots slots(2);
    slots.setLeaving(true);
    cr_assert_eq(slots.tryBegin("k1"), 0U);
    slots.setLeaving(false);
    cr_assert_eq(slots.tryBegin("k1"), 1U);
}

Test(WorkerBooks, exchangeAfterItsTimeStartsNothing)
{
    WorkerBooks books(capacity, "p1");
    ExchangeRequest late = starting(1, startOrder(t1));
    late.validUntilMs = 999;
    cr_assert(books.exchange(late, 1000).inventory.empty());
}

Test(WorkerBooks, exchangeForAnotherIncarnationStartsNothing)
{
    WorkerBooks books(capacity, "p1");
    ExchangeRequest stray = starting(1, startOrder(t1));
    stray.incarnation = "p0";
    cr_assert(books.exchange(stray, 1000).inventory.empty());
}

Test(WorkerBooks, sequenceZeroOnlyRenews)
{
    WorkerBooks books(capacity, "p1");
    books.exchange(starting(5, startOrder(t1)), 1000);
    ExchangeRequest renewing = request(1, 0);
    renewing.stop.push_back(t1);
    renewing.renew.push_back({ t1, 60'000 });
    const ExchangeAnswer answer = books.exchange(renewing, 2000);
    cr_assert(answer.accepted);
    cr_assert(onlyEntry(answer).state == TaskState::Running);
    cr_assert_eq(answer.token.sequence, 5U);
}
