#include "bulrush_steps/ownership/OwnershipManager.h"

#include "bulrush_core/events/DecisionLog.h"
#include "bulrush_steps/workers/LeaseClock.h"

#include <algorithm>
#include <utility>

namespace bulrush {

namespace {

/** Number of joins per time to live. */
constexpr int joinsPerTimeToLive = 3;

/** Number of polls per time to live, for a node that is not a member. */
constexpr int pollsPerTimeToLive = 4;

/** Minimum time between two leaves that are to make a new generation, as a part of the time to
    live. */
constexpr int renewalsPerTimeToLive = 3;

/** How long the store may take to carry out a call that it has not answered. */
constexpr milliseconds maxCallDelay { 15'000 };

/** Upper bound of the random delay that spreads the joins of nodes that find members missing. */
constexpr milliseconds joinJitter { 500 };

/** Allowance for the time that a command waits for a connection and travels to the worker. */
constexpr milliseconds commandDeliveryAllowance { 1000 };

constexpr milliseconds joinTimeout { 800 };

/** Interval at which a stopping node leaves the group until the store confirms it. */
constexpr milliseconds leaveInterval { 300 };

/** How long a member may be unable to keep up with the records before it leaves. */
constexpr milliseconds maxTimeBehind { 3000 };

/** How long such a member then leaves the group to other nodes. */
constexpr milliseconds rejoinPause { 5000 };

/** How long a node waits before it joins a group that is full of smaller members. */
constexpr milliseconds replacementDelay { 1000 };

} // namespace

milliseconds OwnershipTimings::previousOwnerSettleTime() const
{
    return this->outageGrace + this->unreadyOwnerSettleTime();
}

milliseconds OwnershipTimings::unreadyOwnerSettleTime() const
{
    return this->timeToLive + maxLocalDuration(this->lease) + commandDeliveryAllowance;
}

milliseconds OwnershipTimings::resignedOwnerSettleTime() const
{
    return maxLocalDuration(this->maxLease) + commandDeliveryAllowance;
}

OwnershipManager::OwnershipManager(const Clock &systemClock, MemberGroup &memberGroup,
                                   std::string memberName, const OwnershipTimings &ownershipTimes,
                                   DecisionLog &decisionLog, Listener &ownershipListener)
    : clock(systemClock)
    , group(memberGroup)
    , name(std::move(memberName))
    , times(ownershipTimes)
    , decisions(decisionLog)
    , listener(ownershipListener)
    , random(static_cast<std::minstd_rand::result_type>(std::hash<std::string>()(this->name)))
{
}

bool OwnershipManager::isOwner() const
{
    const Instant validUntil = this->confirmedAt + this->times.timeToLive + this->times.outageGrace;
    return this->owner && this->clock.now() < validUntil;
}

bool OwnershipManager::isSoleOwner() const
{
    return this->owner && !this->handedOver && this->isConfirmedAt(this->clock.now());
}

bool OwnershipManager::isConfirmedAt(Instant time) const
{
    return this->confirmedAt >= this->leavePossibleUntil
            && time < this->confirmedAt + this->times.timeToLive;
}

void OwnershipManager::tick()
{
    const Instant now = this->clock.now();
    if (this->owner && !this->isOwner()) {
        this->loseOwnership("the store did not confirm the membership in time");
    }
    if (this->leaving && this->nextLeaveAt && now >= *this->nextLeaveAt) {
        this->sendLeave();
    }
    this->stepDownIfBehind();
    if (this->reviewIsDue()) {
        this->reviewGroup();
        return;
    }
    if (this->leaving || this->inFlight || now < this->nextJoinAt) {
        return;
    }
    this->inFlight = true;
    if (this->member) {
        this->join();
    } else {
        this->pollGroup();
    }
}

void OwnershipManager::join()
{
    const Instant now = this->clock.now();
    this->nextJoinAt = now + this->times.timeToLive / joinsPerTimeToLive;
    this->group.join(this->name, this->generation, this->times.timeToLive, joinTimeout,
                     [this, now](const Membership &membership) {
                         this->inFlight = false;
                         this->handleJoinAnswer(now, membership);
                     });
}

void OwnershipManager::pollGroup()
{
    this->nextJoinAt = this->clock.now() + this->times.timeToLive / pollsPerTimeToLive;
    this->group.findHolder(joinTimeout, [this](const PartitionHolder &holder) {
        this->inFlight = false;
        if (holder.outcome == StoreOutcome::Done) {
            this->handleMembers(holder);
        }
    });
}

void OwnershipManager::handleMembers(const PartitionHolder &holder)
{
    const std::uint32_t smaller = this->sizesOf(holder.names).smallerMembers();
    if (holder.members >= targetMemberCount + smaller) {
        this->membersMissing = false;
        this->candidate = false;
        return;
    }
    const Instant now = this->clock.now();
    if (this->membersMissing) {
        this->candidate = !this->listener.recordsAreCurrent();
        this->member = !this->candidate;
        this->nextJoinAt = this->member ? now : this->nextJoinAt;
        return;
    }
    // All polling nodes notice missing members at the same time. Each polls again after a random
    // delay before it joins.
    this->membersMissing = true;
    std::uniform_int_distribution<std::int64_t> jitter(0, joinJitter.count());
    const bool isFull = holder.members >= targetMemberCount;
    this->nextJoinAt = now + this->times.joinDelay + milliseconds(jitter(this->random))
            + (isFull ? replacementDelay : milliseconds(0));
}

void OwnershipManager::handleJoinAnswer(Instant sentAt, const Membership &membership)
{
    if (this->leaving) {
        if (membership.outcome != StoreOutcome::Refused) {
            // The join may have been carried out after the leave.
            this->nextLeaveAt = this->clock.now();
        }
        return;
    }
    if (membership.outcome != StoreOutcome::Done) {
        return;
    }
    this->joinedAt = sentAt;
    const bool changed = membership.generation != this->generation;
    this->generation = membership.generation;
    if (changed) {
        this->scheduleReview();
        // Rejoins at once to confirm the new generation, so that the store can assign the partition
        // to its new holder.
        this->nextJoinAt = this->clock.now();
    }
    if (!membership.holdsPartition) {
        this->handOver("the store assigned the partition to another node");
        return;
    }
    const bool mayHaveChangedHands = changed && !this->isConfirmedAt(sentAt);
    if (this->owner && (this->handedOver || mayHaveChangedHands)) {
        this->loseOwnership("another node was or may have been the owner in the meantime");
    }
    this->confirmedAt = sentAt;
    if (this->owner) {
        return;
    }
    if (membership.generation <= this->usedGeneration) {
        if (sentAt >= this->usedSince) {
            this->leaveForNewGeneration();
        } else {
            // The assignment may have changed since.
            this->nextJoinAt = this->clock.now();
        }
        return;
    }
    this->owner = true;
    this->gainedAt = this->clock.now();
    this->scheduleReview();
    this->handedOver = false;
    this->token = membership.generation;
    this->decisions.write(DecisionLine(Event::OwnershipGained).with("fencing_token", this->token));
    this->listener.ownershipGained(this->token);
}

void OwnershipManager::handOver(std::string_view reason)
{
    if (!this->owner || this->handedOver) {
        return;
    }
    this->handedOver = true;
    this->decisions.write(DecisionLine(Event::OwnershipHandedOver)
                                  .with("fencing_token", this->token)
                                  .with("reason", reason));
}

void OwnershipManager::superseded(std::string_view by)
{
    if (this->owner) {
        this->markUsed(this->generation);
        this->loseOwnership(by);
    }
}

bool OwnershipManager::yieldTo(std::uint64_t newerToken, std::uint64_t askedToken)
{
    if (newerToken <= askedToken) {
        return false;
    }
    if (this->owner && this->token < newerToken) {
        this->loseOwnership("a newer owner asks");
    }
    // All tokens below that of the asking owner are superseded.
    this->markUsed(newerToken - 1);
    return !this->owner || this->token != askedToken;
}

void OwnershipManager::loseOwnership(std::string_view reason)
{
    this->owner = false;
    this->markUsed(this->token);
    this->decisions.write(DecisionLine(Event::OwnershipLost)
                                  .with("fencing_token", this->token)
                                  .with("reason", reason));
    this->listener.ownershipLost(reason);
}

void OwnershipManager::markUsed(std::uint64_t usedUpTo)
{
    if (usedUpTo > this->usedGeneration) {
        this->usedGeneration = usedUpTo;
        this->usedSince = this->clock.now();
    }
}

void OwnershipManager::leaveForNewGeneration()
{
    const Instant now = this->clock.now();
    if (now < this->nextRenewalAt) {
        return;
    }
    this->nextRenewalAt = now + this->times.timeToLive / renewalsPerTimeToLive;
    this->inFlight = true;
    this->leaveForNow([this] {
        this->inFlight = false;
        this->nextJoinAt = this->clock.now();
    });
}

void OwnershipManager::leaveForNow(std::function<void()> answered)
{
    this->group.leave(this->name, joinTimeout,
                      [this, answered = std::move(answered)](StoreOutcome outcome) {
                          if (outcome == StoreOutcome::Unknown) {
                              this->leavePossibleUntil = this->clock.now() + maxCallDelay;
                          }
                          answered();
                      });
}

void OwnershipManager::leave()
{
    this->leaving = true;
    this->handOver("this node is shutting down");
    if (this->member) {
        this->sendLeave();
    }
}

void OwnershipManager::sendLeave()
{
    this->nextLeaveAt = this->clock.now() + leaveInterval;
    this->group.leave(this->name, joinTimeout, [this](StoreOutcome outcome) {
        if (outcome == StoreOutcome::Done) {
            this->nextLeaveAt.reset();
        }
    });
}

void OwnershipManager::stepDownIfBehind()
{
    const Instant now = this->clock.now();
    const bool confirmed = now < this->joinedAt + this->times.timeToLive;
    const bool standsBy = this->member && !this->owner && !this->leaving && confirmed;
    if (this->inFlight) {
        return;
    }
    if (!standsBy || this->listener.recordsAreCurrent()) {
        this->behindSince.reset();
        return;
    }
    this->behindSince = this->behindSince.value_or(now);
    if (now - *this->behindSince < maxTimeBehind) {
        return;
    }
    this->decisions.write(DecisionLine(Event::MembershipGivenUp));
    this->leaveForOthers();
}

void OwnershipManager::leaveForOthers()
{
    this->member = false;
    this->membersMissing = false;
    this->behindSince.reset();
    this->nextReviewAt.reset();
    this->nextJoinAt = this->clock.now() + rejoinPause;
    this->leaveForNow([] {});
}

} // namespace bulrush
