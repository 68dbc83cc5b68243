#include "bulrush_routing/bulrush_routing.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace bulrush;
using namespace bulrush::routing;

namespace {

constexpr Instant start { hours(1) };

std::vector<NodeLocation> nodeLocations(std::size_t count)
{
    std::vector<NodeLocation> nodes;
    for (std::size_t i = 0; i < count; ++i) {
        nodes.push_back(
                { NodeId("n" + std::to_string(i)), DataCentreId("dc" + std::to_string(i % 3)) });
    }
    return nodes;
}

TargetTable tableOf(std::size_t targets)
{
    TargetTable table { DataCentreId("dc") };
    for (std::size_t i = 0; i < targets; ++i) {
        table.put({ TargetId("t" + std::to_string(i)), DataCentreId("dc"), 8, 7 });
    }
    return table;
}

} // namespace

Test(Subset, sharesStayWithinTheTargetsConnections)
{
    cr_assert_eq(connectionShare(65, 9), 7U);
    cr_assert_eq(connectionShare(65, 8), 8U);
    cr_assert_eq(connectionShare(65, 30), 7U);
    cr_assert_eq(connectionShare(3, 9), 1U);
}

Test(Subset, eachTargetIsUsedByNineOfManyNodes)
{
    const auto nodes = nodeLocations(40);
    for (int target = 0; target < 100; ++target) {
        const TargetId id("t" + std::to_string(target));
        const DataCentreId centre("dc" + std::to_string(target % 3));
        const auto users = std::count_if(nodes.begin(), nodes.end(), [&](const NodeLocation &node) {
            return usesTarget(node, nodes, id, centre);
        });
        cr_assert_eq(users, 9);
    }
}

Test(Subset, everyNodeGetsTargets)
{
    const auto nodes = nodeLocations(40);
    for (const NodeLocation &node : nodes) {
        int used = 0;
        for (int target = 0; target < 100; ++target) {
            const DataCentreId centre("dc" + std::to_string(target % 3));
            const TargetId id("t" + std::to_string(target));
            used += usesTarget(node, nodes, id, centre) ? 1 : 0;
        }
        cr_assert_geq(used, 10);
    }
}

Test(TargetTable, readdedTargetKeepsItsRequests)
{
    TargetTable table = tableOf(2);
    const TargetIndex index = *table.find(TargetId("t0"));
    table.beginRequest(index);
    table.remove(TargetId("t0"));
    cr_assert_not(table.find(TargetId("t0")));
    const TargetIndex again = table.put({ TargetId("t0"), DataCentreId("dc"), 8, 7 });
    cr_assert(again == index);
    cr_assert_eq(table.at(again).inFlight, 1U);
}

Test(TargetTable, indexInUseIsNotReassigned)
{
    TargetTable table = tableOf(1);
    const TargetIndex index = *table.find(TargetId("t0"));
    table.beginRequest(index);
    table.remove(TargetId("t0"));
    cr_assert(table.put({ TargetId("new"), DataCentreId("dc"), 8, 7 }) != index);
    table.endRequest(index);
    cr_assert(table.put({ TargetId("newer"), DataCentreId("dc"), 8, 7 }) == index);
}

Test(OutlierEjector, keepsHalfOfADataCentreInUse)
{
    TargetTable table = tableOf(6);
    OutlierEjector ejector;
    for (std::size_t i = 0; i < 6; ++i) {
        for (int failure = 0; failure < 20; ++failure) {
            ejector.recordFailure(table, TargetIndex(i), start);
        }
    }
    cr_assert_eq(table.ejectedCount(0), 3U);
    ejector.tick(table, start + OutlierEjector::baseEjectionTime);
    cr_assert_eq(table.ejectedCount(0), 0U);
}

Test(OutlierEjector, oneFailureAfterAReturnEjectsForLonger)
{
    TargetTable table = tableOf(4);
    OutlierEjector ejector;
    for (unsigned failure = 0; failure < OutlierEjector::failureThreshold; ++failure) {
        ejector.recordFailure(table, TargetIndex(0), start);
    }
    const Instant returnedAt = start + OutlierEjector::baseEjectionTime;
    ejector.tick(table, returnedAt);
    ejector.recordFailure(table, TargetIndex(0), returnedAt);
    ejector.tick(table, returnedAt + OutlierEjector::baseEjectionTime);
    cr_assert_eq(table.ejectedCount(0), 1U);
    ejector.tick(table, returnedAt + 2 * OutlierEjector::baseEjectionTime);
    cr_assert_eq(table.ejectedCount(0), 0U);
}

Test(RetryBudget, neverExceedsItsShare)
{
    RetryBudget budget;
    int spent = 0;
    for (int request = 1; request <= 1000; ++request) {
        budget.deposit();
        spent += budget.tryWithdraw() ? 1 : 0;
        cr_assert_leq(spent * 10, request);
    }
    cr_assert_geq(spent, 99);
}

Test(HedgePolicy, delayIsHighQuantileOfAnswerTimes)
{
    HedgePolicy policy;
    std::mt19937_64 random(3);
    std::uniform_int_distribution<int> draw(1, 100);
    for (int i = 0; i < 20'000; ++i) {
        policy.recordAnswerTime(milliseconds(draw(random)));
    }
    cr_assert(policy.delay() > milliseconds(90) && policy.delay() < milliseconds(110));
}

Test(TargetChooser, choosesRemoteTargetOnlyWhenTheLocalWaitIsLonger)
{
    TargetTable table = tableOf(1);
    table.setOneWayDelay(DataCentreId("far"), milliseconds(1));
    const TargetIndex remote = table.put({ TargetId("far"), DataCentreId("far"), 8, 7 });
    const TargetIndex local = *table.find(TargetId("t0"));
    table.recordAnswerTime(local, milliseconds(20));
    TargetChooser chooser(StrategyKind::Product);
    std::mt19937_64 random(1);
    table.recordReport(local, { 6, false }, start);
    cr_assert(chooser.choose(table, { start, {} }, random) == local);
    table.recordReport(local, { 9, false }, start);
    cr_assert(chooser.choose(table, { start, {} }, random) == remote);
    table.setReachable(DataCentreId("far"), false);
    cr_assert(chooser.choose(table, { start, {} }, random) == local);
}
