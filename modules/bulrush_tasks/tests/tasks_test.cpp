#include "bulrush_core/bulrush_core.h"
#include "bulrush_tasks/bulrush_tasks.h"

#include <criterion/criterion.h>

using namespace bulrush;

namespace {

AttemptId attemptOf(std::uint32_t index, std::uint32_t attempt)
{
    return { { JobId("j"), index }, attempt };
}

} // namespace

Test(WorkerLedger, commitsNothingBeforeTheInventoryAndNothingBeyondCapacity)
{
    WorkerLedger ledger;
    cr_assert_not(ledger.commit(attemptOf(0, 1), { 1, 1, 0 }));
    ledger.setCapacity({ 1000, 100, 1 });
    cr_assert(ledger.commit(attemptOf(0, 1), { 600, 10, 0 }));
    cr_assert_not(ledger.commit(attemptOf(1, 1), { 600, 10, 0 }));
    cr_assert_not(ledger.commit(attemptOf(1, 1), { 1, 91, 0 }));
    cr_assert_not(ledger.commit(attemptOf(1, 1), { 1, 1, 2 }));
    ledger.release(attemptOf(0, 1));
    cr_assert(ledger.commit(attemptOf(1, 1), { 1000, 100, 1 }));
}

Test(Exchange, roundTripsThroughJson)
{
    ExchangeRequest request;
    request.node = NodeId("n");
    request.group = GroupId("g");
    request.epoch = 3;
    request.sequence = 7;
    request.starts.push_back({ attemptOf(1, 2), TaskKind::Watcher, { 1, 2, 3 }, 60, 70, "c" });
    request.renewals.push_back({ attemptOf(2, 1), 60 });
    request.forgets.push_back(attemptOf(3, 1));
    const ExchangeRequest copy = decodeExchangeRequest(encode(request));
    cr_assert_eq(copy.epoch, 3U);
    cr_assert(copy.starts.at(0).attempt == attemptOf(1, 2));
    cr_assert(copy.starts.at(0).kind == TaskKind::Watcher);
    cr_assert(copy.renewals.at(0).attempt == attemptOf(2, 1));
    cr_assert(copy.forgets.at(0) == attemptOf(3, 1));
    cr_assert_throw(decodeExchangeRequest("{}"), Error);
    cr_assert_throw(decodeExchangeAnswer("no"), Error);
}

Test(Durations, defaultsAreConsistentAndEachViolationIsReported)
{
    cr_assert(checkDurations({}).empty());
    Durations durations;
    durations.lease = seconds(1);
    durations.retention = hours(1);
    durations.renewalHorizon = hours(1);
    cr_assert_eq(checkDurations(durations).size(), 3U);
}

Test(Job, needBeyondEveryWorkerReportsWhatIsMissing)
{
    const std::vector<Resources> workers { { 4000, 100, 0 }, { 1000, 500, 0 } };
    cr_assert(describeShortfall({ 4000, 100, 0 }, workers).empty());
    cr_assert_eq(describeShortfall({ 1, 1, 2 }, workers), "2 accelerators (largest worker: 0)");
    cr_assert_not(describeShortfall({ 4000, 500, 0 }, workers).empty());
}

Test(FailureEvidence, distinguishesAFailingWorkerFromAFailingTask)
{
    FailureEvidence evidence;
    const VmId bad("bad");
    for (std::uint32_t index = 0; index < 3; ++index) {
        evidence.recordFailure({ JobId("j"), index }, bad);
    }
    cr_assert(evidence.isWorkerSetAside(bad));
    const TaskId task { JobId("k"), 0 };
    for (const char *worker : { "a", "b", "c" }) {
        evidence.recordFailure(task, VmId(worker));
    }
    cr_assert(evidence.shouldAbandonTask(task, 10));
    cr_assert_not(evidence.isWorkerSetAside(VmId("a")));
}
