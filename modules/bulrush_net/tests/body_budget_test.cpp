#include "bulrush_net/http/BodyBudget.h"
#include "bulrush_net/http/ConnectionTable.h"

#include <criterion/criterion.h>

using namespace bulrush;

namespace {

constexpr std::size_t largeBytes = 200'000;
constexpr std::size_t budgetBytes = 4 * BodyBudget::copies * largeBytes;

Instant at(int millis)
{
    return Instant(milliseconds(1'000'000 + millis));
}

} // namespace

/* Bodies of permitted size, many at once, took more memory than the machine has. */
Test(BodyBudget, allBodiesTogetherStayWithinTheBudget)
{
    BodyBudget budget(budgetBytes);
    int admitted = 0;
    for (BodyBudget::UploadId id = 1; id <= 100; ++id) {
        admitted += budget.announce(id, largeBytes, at(0)).admitted ? 1 : 0;
    }
    cr_assert_eq(admitted, 3);
    cr_assert_leq(budget.reservedBytes(), budgetBytes);
}

/* Unfinished large uploads filled the budget, and ordinary submissions were refused. */
Test(BodyBudget, smallBodiesAreAdmittedBesideLargeOnes)
{
    BodyBudget budget(budgetBytes);
    for (BodyBudget::UploadId id = 1; id <= 3; ++id) {
        budget.announce(id, largeBytes, at(0));
    }
    for (BodyBudget::UploadId id = 10; id < 200; ++id) {
        cr_assert(budget.announce(id, 1000, at(0)).admitted);
        budget.completed(id);
    }
}

/* Uploads that stop short of their end kept others out until a time limit. */
Test(BodyBudget, slowestUnfinishedUploadIsDisplaced)
{
    BodyBudget budget(budgetBytes);
    for (BodyBudget::UploadId id = 1; id <= 3; ++id) {
        budget.announce(id, largeBytes, at(0));
        budget.received(id, id == 2 ? 10 : 100'000);
    }
    budget.completed(1);
    const auto early = budget.announce(4, largeBytes, at(500));
    cr_assert_not(early.admitted);
    cr_assert(early.displaced.empty());
    const auto later = budget.announce(4, largeBytes, at(1000));
    cr_assert(later.admitted);
    cr_assert_eq(later.displaced, std::vector<BodyBudget::UploadId> { 2 });
}

/* A request that waits for its answer was given up for a new one. */
Test(BodyBudget, completeBodiesAreNeverDisplaced)
{
    BodyBudget budget(budgetBytes);
    for (BodyBudget::UploadId id = 1; id <= 3; ++id) {
        budget.announce(id, largeBytes, at(0));
        budget.completed(id);
    }
    cr_assert_not(budget.announce(4, largeBytes, at(60'000)).admitted);
    cr_assert(budget.overdue(at(60'000)).empty());
    budget.release(1);
    cr_assert(budget.announce(4, largeBytes, at(60'000)).admitted);
}

/* A body sent one byte at a time was never overdue. */
Test(BodyBudget, uploadsBelowTheMinimumRateAreOverdue)
{
    BodyBudget budget(0);
    budget.announce(1, largeBytes, at(0));
    budget.announce(2, largeBytes, at(0));
    budget.received(1, 100);
    budget.received(2, 50'000);
    cr_assert(budget.overdue(at(5000)).empty());
    cr_assert_eq(budget.overdue(at(6000)), std::vector<BodyBudget::UploadId> { 1 });
}

/* Unfinished headers kept their connections for as long as idle ones. */
Test(ConnectionTable, headersAndIdleConnectionsHaveTimeLimits)
{
    const ConnectionTimes times { milliseconds(3000), milliseconds(20'000) };
    ConnectionTable table;
    table.opened(1, false, at(0));
    table.opened(2, false, at(0));
    table.opened(3, false, at(0));
    table.headerBegan(1, at(100));
    table.requestBegan(3);
    cr_assert(table.overdue(times, at(3000)).empty());
    cr_assert_eq(table.overdue(times, at(3100)), std::vector<ConnectionTable::ConnectionId> { 1 });
    table.closed(1);
    cr_assert_eq(table.overdue(times, at(20'000)),
                 std::vector<ConnectionTable::ConnectionId> { 2 });
}

/* Connections that never sent a request kept keep-alive connections of callers out. */
Test(ConnectionTable, connectionsWithoutAnyRequestAreDisplacedFirst)
{
    ConnectionTable table;
    table.opened(1, false, at(0));
    table.requestBegan(1);
    table.requestEnded(1, at(10));
    table.opened(2, false, at(20));
    table.opened(3, false, at(30));
    table.requestBegan(3);
    cr_assert_not(table.displaceable(at(200)));
    cr_assert_eq(*table.displaceable(at(300)), 2U);
    table.closing(2);
    cr_assert_eq(table.activeCount(), 2U);
    cr_assert_eq(*table.displaceable(at(300)), 1U);
}
