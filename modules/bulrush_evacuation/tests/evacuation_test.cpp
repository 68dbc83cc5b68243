#include "bulrush_core/bulrush_core.h"
#include "bulrush_evacuation/bulrush_evacuation.h"

#include <criterion/criterion.h>

using namespace bulrush;

namespace {

const DataCentreId dcA("dc-a");
const DataCentreId dcB("dc-b");
constexpr Instant start { hours(1) };
constexpr milliseconds bound { 5000 };

EvacuationRequests readAt(Instant at)
{
    EvacuationRequests requests;
    requests.readToEnd(at);
    return requests;
}

} // namespace

/* A re-read delivers its records page by page. A request that was dropped at its start would let
   starts through until its record is delivered again. */
Test(EvacuationRequests, aRequestStaysInForceUntilAReReadIsComplete)
{
    EvacuationRequests requests;
    requests.request(dcA, 3, start);
    requests.request(dcB, 4, start);
    requests.beginReread();
    requests.request(dcB, 4, start);
    cr_assert(requests.isEvacuated(dcA));
    cr_assert_eq(requests.completeReread().count(dcA), 1U);
    cr_assert_not(requests.isEvacuated(dcA));
    cr_assert(requests.isEvacuated(dcB));
}

/* Records that follow the first page of a re-read are delivered again, the withdrawal of an earlier
   request after the newer request. It would end the newer one. */
Test(EvacuationRequests, aWithdrawalThatIsOlderThanTheRequestChangesNothing)
{
    EvacuationRequests requests;
    cr_assert(requests.request(dcA, 9, start) == EvacuationChange::Began);
    cr_assert(requests.withdraw(dcA, 8) == EvacuationChange::None);
    cr_assert(requests.request(dcA, 9, start) == EvacuationChange::None);
    cr_assert(requests.isEvacuated(dcA));
    cr_assert(requests.withdraw(dcA, 10) == EvacuationChange::Ended);
}

/* A request that was confirmed before the ownership began was unknown to the new owner. */
Test(EvacuationGate, aNewOwnerStartsNothingBeforeItHasReadTheRequests)
{
    const EvacuationGate gate(bound);
    const EvacuationView view { start, start };
    cr_assert(gate.block({}, view, start) == StartBlock::NotRead);
    cr_assert(gate.block(readAt(start - milliseconds(2501)), view, start) == StartBlock::NotRead);
    cr_assert(gate.block(readAt(start - milliseconds(2500)), view, start) == StartBlock::None);
    cr_assert(gate.block(readAt(start), view, start) == StartBlock::None);
}

/* Where only the reads of the requests fail, an owner would never learn of a request. */
Test(EvacuationGate, aStaleReadingStopsStartsOnlyWhileTheStoreAnswers)
{
    const EvacuationGate gate(bound);
    const EvacuationRequests requests = readAt(start);
    const Instant late = start + bound + milliseconds(1);
    cr_assert(gate.block(requests, { start, late }, start + bound) == StartBlock::None);
    cr_assert(gate.block(requests, { start, late }, late) == StartBlock::Stale);
    cr_assert(gate.block(requests, { start, start }, late) == StartBlock::None);
}

Test(EvacuationGate, onlyTheEvacuatedDataCentreTakesNoStarts)
{
    EvacuationRequests requests = readAt(start);
    requests.request(dcA, 1, start);
    const EvacuationGate gate(bound);
    cr_assert_not(gate.mayStartIn(dcA, requests, { start, start }, start));
    cr_assert(gate.mayStartIn(dcB, requests, { start, start }, start));
}

/* Moves beyond maxUnavailable, or of part of a gang, would take a service down. */
Test(EvacuationMoves, keepToTheLimitsOfStepsAndGangs)
{
    std::vector<EvacuatedRun> runs(4);
    runs[0] = { 0, 1, false, 1, 0, start };
    runs[1] = { 1, 1, false, 1, 0, start - seconds(1) };
    runs[2] = { 2, 2, true, 0, 0, start };
    runs[3] = { 3, 3, false, 2, 2, start };
    const std::vector<EvacuatedRun> chosen = EvacuationMoves::candidates({ 64, 0, false }, runs);
    cr_assert_eq(chosen.size(), 1U);
    cr_assert_eq(chosen[0].run, 1U);
}

/* Moves took room that tasks with a deadline waited for. */
Test(EvacuationMoves, areFewAndYieldToTasksThatEnd)
{
    cr_assert_eq(EvacuationMoves::allowed({ 64, 3, false }), 1U);
    cr_assert_eq(EvacuationMoves::allowed({ 64, 4, false }), 0U);
    cr_assert_eq(EvacuationMoves::allowed({ 64, 0, true }), 0U);
    cr_assert_eq(EvacuationMoves::allowed({ 3, 0, false }), 1U);
}

/* A data centre that came back took all waiting starts at once and got slower still. */
Test(ColdStartLimit, limitsStartsWhileTheWorkerIsCold)
{
    ColdStartLimit limit;
    limit.setCold(start + seconds(2), { 3.0, 5.0 });
    int starts = 0;
    for (Instant now = start; now < start + seconds(1); now += milliseconds(10)) {
        if (limit.mayStart(now)) {
            limit.started(now);
            ++starts;
        }
    }
    cr_assert_leq(starts, 8);
    cr_assert_geq(starts, 7);
    for (; limit.mayStart(start + seconds(1)); limit.started(start + seconds(1))) { }
    cr_assert(limit.mayStart(start + seconds(2)), "a warm worker has no limit");
}

Test(ColdStartLimit, noRateMeansNoLimit)
{
    ColdStartLimit limit;
    limit.setCold(start + seconds(2), {});
    for (int count = 0; count < 100; ++count) {
        cr_assert(limit.mayStart(start));
        limit.started(start);
    }
    cr_assert(limit.isCold(start));
}
