#include "bulrush_steps/ownership/FormerOwners.h"

#include <criterion/criterion.h>

using namespace bulrush;

namespace {

constexpr Instant start { hours(1) };
constexpr milliseconds fullWait { 20'000 };
constexpr milliseconds settleTime { 5'000 };

FormerOwners waitingFor(std::uint64_t token)
{
    FormerOwners owners;
    owners.begin({ { token, { token, "m" } } }, Roster { {}, token, {} }, token + 1,
                 start + fullWait);
    return owners;
}

} // namespace

Test(FormerOwners, aSilentOwnerIsWaitedForInFull)
{
    cr_assert(waitingFor(2).settledAt() == start + fullWait);
}

Test(FormerOwners, aResignationOfAnOwnerThatIsNotWaitedForChangesNothing)
{
    FormerOwners owners = waitingFor(2);
    owners.resigned({ 1, {} }, start, settleTime);
    cr_assert(owners.settledAt() == start + fullWait);
}

/* Three owners were cut off one after the other and learn of their successors in any order. */
Test(FormerOwners, resignationsOfAChainShortenTheWaitInAnyOrder)
{
    FormerOwners owners = waitingFor(3);
    owners.resigned({ 1, {} }, start, settleTime);
    owners.resigned({ 3, { { 2, milliseconds(15'000) } } }, start, settleTime);
    cr_assert(owners.settledAt() == start + milliseconds(15'000));
    owners.resigned({ 2, { { 1, milliseconds(9'000) } } }, start + seconds(1), settleTime);
    cr_assert(owners.settledAt() == start + milliseconds(10'000));
    owners.resigned({ 1, {} }, start + seconds(2), settleTime);
    cr_assert(owners.settledAt() == start + milliseconds(7'000));
}

/* A record is read again after the history was trimmed. Were it applied again, the wait would begin
   anew each time, or end before the last leases. */
Test(FormerOwners, aResignationCountsOnce)
{
    FormerOwners owners = waitingFor(2);
    const Resignation resignation { 2, { { 1, milliseconds(8'000) } } };
    owners.resigned(resignation, start, settleTime);
    owners.resigned(resignation, start + seconds(3), settleTime);
    cr_assert(owners.settledAt() == start + milliseconds(8'000));
}

Test(FormerOwners, noResignationProlongsAWait)
{
    FormerOwners owners = waitingFor(2);
    const Instant late = start + fullWait - seconds(1);
    owners.resigned({ 2, { { 1, hours(1) } } }, late, settleTime);
    cr_assert(owners.settledAt() == start + fullWait);
}

/* Nodes of two versions stand side by side during a rolling restart: the record of an earlier
   version has only one time, and an earlier version reads only that one. */
Test(FormerOwners, resignationsOfEarlierVersionsAreRead)
{
    const Resignation old =
            records::decodeResignation(R"({"schema":1,"fencingToken":4,"unsettledMs":700})");
    cr_assert_eq(old.fencingToken, 4U);
    const std::vector<UnsettledOwner> unknownOwner { { 0, milliseconds(700) } };
    cr_assert(old.unsettled == unknownOwner);
    const Resignation sent { 7, { { 5, milliseconds(300) }, { 6, milliseconds(900) } } };
    const std::string record = records::encodeResignation(sent);
    cr_assert(record.find(R"("unsettledMs":900)") != std::string::npos);
    cr_assert(records::decodeResignation(record).unsettled == sent.unsettled);
    cr_assert(records::parseKey(records::resignationKey(7)).kind == records::KeyKind::Resignation);
    cr_assert(records::parseKey(records::newestResignationKey()).kind
              == records::KeyKind::Resignation);
}

Test(FormerOwners, withoutAnOwnerOnRecordAnUnknownOneIsWaitedForInFull)
{
    FormerOwners owners;
    owners.begin({}, {}, 3, start + fullWait);
    cr_assert(owners.settledAt() == start + fullWait);
    cr_assert(owners.ownersToAsk(start).empty());
}

/* An owner of an earlier version leaves no record of its own, only a roster that does not name it.
 */
Test(FormerOwners, anUnknownWriterOfTheRosterIsWaitedForInFull)
{
    FormerOwners owners;
    owners.begin({ { 1, { 1, "m1" } } }, {}, 3, start + fullWait);
    owners.resigned({ 1, {} }, start, settleTime);
    cr_assert(owners.settledAt() == start + fullWait);
}

/* Owner 2 is killed while it still waits for owner 1, which only the roster names. */
Test(FormerOwners, theOwnersThatTheRosterNamesAreWaitedFor)
{
    FormerOwners owners;
    owners.begin({ { 2, { 2, "m2" } } }, Roster { {}, 2, { { 1, "m1" } } }, 3, start + fullWait);
    const Resignation ended = owners.stopped(2, start, settleTime);
    cr_assert(owners.settledAt() == start + fullWait);
    const std::vector<UnsettledOwner> left { { 1, fullWait } };
    cr_assert(ended.unsettled == left);
    cr_assert_eq(owners.ownersToAsk(start).size(), 1U);
    cr_assert_eq(owners.ownersToAsk(start).front().member, "m1");
}

/* Owner 2 saw that owner 1 had settled, and says so by not naming it. */
Test(FormerOwners, aResignationSettlesTheEarlierOwnersThatItDoesNotName)
{
    FormerOwners owners;
    owners.begin({ { 1, { 1, "m1" } }, { 2, { 2, "m2" } } }, Roster { {}, 2, {} }, 3,
                 start + fullWait);
    owners.resigned({ 2, {} }, start, settleTime);
    cr_assert(owners.settledAt() == start + settleTime);
}

Test(FormerOwners, aRosterReadsAsItWasWritten)
{
    const Roster roster { { TargetId("w1") }, 7, { { 5, "m" } } };
    const Roster read = records::decodeRoster(records::encode(roster));
    cr_assert(read.workers == roster.workers);
    cr_assert_eq(read.fencingToken, 7U);
    cr_assert_eq(read.formerOwners.at(0).fencingToken, 5U);
    cr_assert_eq(read.formerOwners.at(0).member, "m");
    cr_assert_eq(records::decodeRoster(R"({"schema":1,"workers":["w1"]})").fencingToken, 0U);
}
