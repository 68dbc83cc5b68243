#include "bulrush_core/bulrush_core.h"
#include "bulrush_ownership/bulrush_ownership.h"

#include <criterion/criterion.h>

using namespace bulrush;

namespace {

std::string claimRecord(const char *id, Epoch epoch)
{
    return encode(GroupClaim { id, GroupId("g"), NodeId("n"), epoch });
}

std::string operationRecord(std::uint64_t sequence, WorkChange change, std::uint32_t first,
                            std::uint32_t last)
{
    return encode(GroupOperation {
            GroupId("g"), 1, sequence, { { change, JobId("j"), first, last, 0, {}, {} } } });
}

} // namespace

Test(GroupClaims, firstClaimOfAnEpochWins)
{
    GroupClaims claims;
    claims.read(0, claimRecord("a", 1));
    claims.read(1, claimRecord("b", 1));
    claims.read(2, claimRecord("c", 3));
    cr_assert_eq(claims.ownershipOf(GroupId("g")).claimId, "a");
    claims.read(3, claimRecord("d", 2));
    cr_assert_eq(claims.ownershipOf(GroupId("g")).claimId, "d");
}

Test(GroupClaims, duplicateOperationIsAppliedOnce)
{
    GroupClaims claims;
    claims.read(0, claimRecord("a", 1));
    const std::string claim = operationRecord(1, WorkChange::ClaimTasks, 0, 9);
    claims.read(1, claim);
    claims.read(2, operationRecord(2, WorkChange::ReturnTasks, 4, 5));
    claims.read(3, claim);
    cr_assert_not(claims.holderOf(JobId("j"), 4).has_value());
    cr_assert_eq(claims.rangesOf(GroupId("g")).size(), 2U);
    const auto range = claims.freeRange(JobId("j"), 20, 10);
    cr_assert(range && range->first == 4 && range->last == 5);
    const auto later = claims.freeRange(JobId("j"), 20, 4, 5);
    cr_assert(later && later->first == 5 && later->last == 5);
    const auto behind = claims.freeRange(JobId("j"), 20, 4, 7);
    cr_assert(behind && behind->first == 10 && behind->last == 13);
    const auto wrapped = claims.freeRange(JobId("j"), 10, 4, 8);
    cr_assert(wrapped && wrapped->first == 4);
}

Test(GroupClaims, completedRangesMerge)
{
    GroupClaims claims;
    claims.read(0, claimRecord("a", 1));
    claims.read(1, operationRecord(1, WorkChange::ClaimTasks, 0, 9));
    claims.read(2, operationRecord(2, WorkChange::CompleteTasks, 3, 9));
    cr_assert_not(claims.isComplete(JobId("j"), 10));
    claims.read(3, operationRecord(3, WorkChange::CompleteTasks, 0, 2));
    cr_assert(claims.isComplete(JobId("j"), 10));
    cr_assert(claims.heldTaskCounts().empty());
}

Test(FencedStream, batchesOfAnOlderEpochAreRejectedAfterAFence)
{
    FencedStream stream;
    cr_assert(stream.admit(1, 0) == BatchVerdict::Applied);
    cr_assert(stream.admit(1, 1) == BatchVerdict::Applied);
    cr_assert(stream.admit(1, 1) == BatchVerdict::Duplicate);
    cr_assert(stream.admit(2, 0) == BatchVerdict::Applied);
    cr_assert(stream.admit(1, 2) == BatchVerdict::Fenced);
    cr_assert(stream.admit(1, 0) == BatchVerdict::Fenced);
}

Test(StreamFollower, refusesATruncatedStreamUntilASnapshotCoversTheGap)
{
    StreamFollower<GroupClaims> complete;
    complete.read(0, claimRecord("a", 1));
    complete.read(1, operationRecord(1, WorkChange::ClaimTasks, 0, 9));
    StreamFollower<GroupClaims> late;
    late.setFirstRetainedOffset(2);
    cr_assert_not(late.isUsable());
    late.read(2, claimRecord("b", 2));
    late.read(3, complete.state().snapshot(0));
    cr_assert_not(late.isUsable(), "a snapshot that ends before the gap was taken");
    late.read(4, complete.state().snapshot(1));
    cr_assert(late.isUsable());
    cr_assert_eq(late.state().ownershipOf(GroupId("g")).claimId, "b");
    cr_assert(late.state().holderOf(JobId("j"), 9) == GroupId("g"));
}
