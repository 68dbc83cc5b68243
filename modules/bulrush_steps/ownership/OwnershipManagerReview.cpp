// The part of OwnershipManager in which a member leaves its place in the group to a larger one.

#include "bulrush_steps/ownership/OwnershipManager.h"

#include "bulrush_core/events/DecisionLog.h"

#include <algorithm>
#include <utility>

namespace bulrush {

namespace {

/** How long after a change of the group a member that is not the owner looks at it, and an owner,
    which waits until the others have left or joined. */
constexpr milliseconds memberReviewDelay { 1000 };
constexpr milliseconds ownerReviewDelay { 3000 };

/** Time after which a look at the group that gave no result, or came at a bad moment, is repeated.
 */
constexpr milliseconds reviewRetryDelay { 1000 };

/** Minimum time between two changes of owner for the sake of a larger one. */
constexpr milliseconds minTermBeforeHandOver { 5000 };

/** A look at the group counts only if the store answers it within this part of the time to live,
    so that the next join is not late. */
constexpr int reviewsPerTimeToLive = 6;

} // namespace

GroupSizes OwnershipManager::sizesOf(const std::vector<std::string> &members) const
{
    std::vector<MemberSize> sizes;
    sizes.reserve(members.size());
    for (const std::string &each : members) {
        sizes.push_back({ each, this->listener.milliCoresOf(each) });
    }
    return { { this->name, this->listener.milliCoresOf(this->name) }, std::move(sizes) };
}

void OwnershipManager::scheduleReview()
{
    this->nextReviewAt = this->clock.now() + (this->owner ? ownerReviewDelay : memberReviewDelay);
}

bool OwnershipManager::reviewIsDue()
{
    const Instant now = this->clock.now();
    if (!this->nextReviewAt || now < *this->nextReviewAt || this->inFlight || !this->member
        || this->leaving) {
        return false;
    }
    const bool badMoment = this->owner
            && (!this->isSoleOwner() || now < this->gainedAt + minTermBeforeHandOver
                || !this->listener.mayHandOver());
    if (badMoment) {
        this->nextReviewAt = now + reviewRetryDelay;
    }
    return !badMoment;
}

void OwnershipManager::reviewGroup()
{
    this->nextReviewAt.reset();
    this->inFlight = true;
    this->group.findHolder(this->times.timeToLive / reviewsPerTimeToLive,
                           [this](const PartitionHolder &holder) {
                               this->inFlight = false;
                               this->handleReview(holder);
                           });
}

void OwnershipManager::handleReview(const PartitionHolder &holder)
{
    if (this->leaving || !this->member) {
        return;
    }
    const bool badMoment = this->owner && (!this->isSoleOwner() || !this->listener.mayHandOver());
    if (holder.outcome != StoreOutcome::Done || badMoment) {
        this->nextReviewAt = this->clock.now() + reviewRetryDelay;
        return;
    }
    const GroupSizes sizes = this->sizesOf(holder.names);
    const MemberSize *larger = sizes.largerMember();
    const std::uint32_t spare = holder.members - std::min(holder.members, targetMemberCount);
    if (larger != nullptr && (this->owner || sizes.isAmongSmallest(spare, holder.member))) {
        this->leavePlace(*larger, holder.members);
    }
}

void OwnershipManager::leavePlace(const MemberSize &larger, std::uint32_t members)
{
    const bool wasOwner = this->owner;
    this->decisions.write(DecisionLine(Event::PlaceLeft)
                                  .with("was_owner", wasOwner)
                                  .with("milli_cores", this->listener.milliCoresOf(this->name))
                                  .with("larger", larger.name)
                                  .with("larger_milli_cores", larger.milliCores)
                                  .with("members", members));
    this->handOver("a member with more processor time stands by");
    this->leaveForOthers();
    this->listener.placeLeft(wasOwner);
}

} // namespace bulrush
