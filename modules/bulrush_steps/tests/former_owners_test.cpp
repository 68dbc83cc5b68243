#include "bulrush_steps/ownership/FormerOwners.h"

#include <criterion/criterion.h>

using namespace bulrush;

namespace {

constexpr Instant start { hours(1) };
constexpr milliseconds fullWait { 20'000 };
constexpr milliseconds settleTime { 5'000 };

constexpr milliseconds unreadyWait { 6'500 };

OwnershipTerm termOf(std::uint64_t token)
{
    return { token, start + fullWait, start + unreadyWait, settleTime };
}

FormerOwners waitingFor(std::uint64_t token)
{
    FormerOwners owners;
    owners.begin({ { token, { token, "m" } } }, Roster { {}, token, {} }, termOf(token + 1));
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
    owners.begin({}, {}, termOf(3));
    cr_assert(owners.settledAt() == start + fullWait);
    cr_assert(owners.ownersToAsk(start).empty());
}

/* An owner of an earlier version leaves no record of its own, only a roster that does not name it.
 */
Test(FormerOwners, anUnknownWriterOfTheRosterIsWaitedForInFull)
{
    FormerOwners owners;
    owners.begin({ { 1, { 1, "m1" } } }, {}, termOf(3));
    owners.resigned({ 1, {} }, start, settleTime);
    cr_assert(owners.settledAt() == start + fullWait);
}

/* Owner 2 is killed while it still waits for owner 1, which only the roster names. */
Test(FormerOwners, theOwnersThatTheRosterNamesAreWaitedFor)
{
    FormerOwners owners;
    owners.begin({ { 2, { 2, "m2" } } }, Roster { {}, 2, { { 1, "m1" } } }, termOf(3));
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
    owners.begin({ { 1, { 1, "m1" } }, { 2, { 2, "m2" } } }, Roster { {}, 2, {} }, termOf(3));
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

namespace {

/** Returns until when a new owner waits for owner 2 after one that wrote the newest roster.
    @param secondOwner    the record of owner 2
    @param rosterWriter   0 for an earlier version, which does not name itself */
Instant waitAfterAnOwnerWithoutARoster(const OwnerRecord &secondOwner, std::uint64_t rosterWriter)
{
    FormerOwners owners;
    owners.begin({ { 1, { 1, "m1" } }, { 2, secondOwner } }, Roster { {}, rosterWriter, {} },
                 termOf(3));
    owners.resigned({ 1, {} }, start, settleTime);
    return owners.settledAt();
}

} // namespace

/* Owner 2 got the partition, wrote its owner record, and was stopped before it had read the
   records. It had started nothing, and had no resignation to write: its successor waited for it in
   full. */
Test(FormerOwners, anOwnerThatWasNeverReadyIsWaitedForUntilItsRenewalsAreOver)
{
    cr_assert(waitAfterAnOwnerWithoutARoster({ 2, "m2", true, true }, 1) == start + unreadyWait);
}

Test(FormerOwners, anOwnerOfAnEarlierVersionWithoutARosterIsWaitedForInFull)
{
    cr_assert(waitAfterAnOwnerWithoutARoster({ 2, "m2", true, false }, 1) == start + fullWait);
}

/* An owner of an earlier version has overwritten the roster, which does not name its writer. */
Test(FormerOwners, anOwnerWhoseRosterMayBeOverwrittenIsWaitedForInFull)
{
    cr_assert(waitAfterAnOwnerWithoutARoster({ 2, "m2", true, true }, 0) == start + fullWait);
}

/* Long-running tasks waited for all workers because of an owner whose own record was gone. */
Test(FormerOwners, whetherAnOwnerRecordsAssignmentsIsKnownWithoutItsOwnRecord)
{
    Roster roster { {}, 2, {} };
    FormerOwners owners;
    owners.begin({}, roster, termOf(3));
    cr_assert_not(owners.recordAssignments());
    roster.recordsAssignments = true;
    owners.begin({}, roster, termOf(3));
    cr_assert(owners.recordAssignments());
    const Resignation resignation { 2, { { 1, milliseconds(900), true } } };
    FormerOwners assigning;
    assigning.begin({ { 2, { 2, "m", true } } }, Roster { {}, 2, {} }, termOf(3));
    assigning.resigned(records::decodeResignation(records::encodeResignation(resignation)), start,
                       settleTime);
    cr_assert(assigning.recordAssignments());
}

/* An owner that sent no command removes its own record; one that a later owner has settled is
   removed by that. */
Test(FormerOwners, anOwnerWhoseRecordIsGoneIsNotWaitedFor)
{
    FormerOwners owners;
    const std::map<std::uint64_t, OwnerRecord> before { { 1, { 1, "m1" } },
                                                        { 2, { 2, "m2", true, true } } };
    owners.begin(before, Roster { {}, 1, {} }, termOf(3));
    owners.recordsRemoved(before);
    owners.resigned({ 1, {} }, start, settleTime);
    cr_assert(owners.settledAt() == start + unreadyWait);
    owners.recordsRemoved({ { 1, { 1, "m1" } } });
    cr_assert(owners.settledAt() == start + settleTime);
}

/* Owner 1 is named by nothing but the roster or a resignation, and has no record that could go. */
Test(FormerOwners, anOwnerWithoutARecordIsWaitedForAfterRecordsHaveGone)
{
    FormerOwners owners;
    owners.begin({ { 2, { 2, "m2" } } }, Roster { {}, 2, { { 1, "m1" } } }, termOf(3));
    owners.recordsRemoved({ { 2, { 2, "m2" } } });
    owners.resigned({ 2, { { 1, fullWait } } }, start, settleTime);
    cr_assert(owners.settledAt() == start + fullWait);
}

/* The resignation of an owner that is waited for only shortly names one that sent commands. */
Test(FormerOwners, aShortWaitDoesNotCapThatOfAnOwnerBeforeIt)
{
    FormerOwners owners;
    owners.begin({ { 2, { 2, "m2", true, true } } }, Roster { {}, 1, {} }, termOf(3));
    owners.resigned({ 2, { { 1, milliseconds(15'000) } } }, start, settleTime);
    cr_assert_geq((owners.settledAt() - start).count(), Duration(milliseconds(15'000)).count());
}
