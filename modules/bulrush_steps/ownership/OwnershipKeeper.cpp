#include "bulrush_steps/ownership/OwnershipKeeper.h"

#include "bulrush_core/events/DecisionLog.h"
#include "bulrush_steps/workers/LeaseClock.h"

#include <algorithm>
#include <utility>

namespace bulrush {

namespace {

/** Joins sent in one time to live. */
constexpr int joinsPerTimeToLive = 3;

/** Looks of a node that is no member in one time to live. */
constexpr int looksPerTimeToLive = 4;

/** Members that the group is kept at: the owner, and others to take over. */
constexpr std::uint32_t fewMembers = 3;

/** Nodes that find members missing join spread over this time. */
constexpr milliseconds joinSpread { 500 };

/** An order may wait for a connection and on its way. */
constexpr milliseconds orderSlack { 1000 };

constexpr milliseconds joinTimeout { 800 };

} // namespace

milliseconds OwnershipTimes::formerOrdersOver() const
{
    return this->timeToLive + this->extension + this->resignedOrdersOver();
}

milliseconds OwnershipTimes::resignedOrdersOver() const
{
    return longestByOurClock(this->lease) + orderSlack;
}

OwnershipKeeper::OwnershipKeeper(const Clock &systemClock, MemberGroup &memberGroup,
                                 std::string memberName, const OwnershipTimes &ownershipTimes,
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

bool OwnershipKeeper::isOwner() const
{
    const Instant validUntil = this->confirmedAt + this->times.timeToLive + this->times.extension;
    return this->owner && this->clock.now() < validUntil;
}

bool OwnershipKeeper::isSoleOwner() const
{
    return this->owner && !this->handedOver
            && this->clock.now() < this->confirmedAt + this->times.timeToLive;
}

void OwnershipKeeper::tick()
{
    const Instant now = this->clock.now();
    if (this->owner && !this->isOwner()) {
        this->lose("the store has not confirmed it for too long");
    }
    if (this->leaving || this->inFlight || now < this->nextJoinAt) {
        return;
    }
    this->inFlight = true;
    if (this->member) {
        this->join();
    } else {
        this->lookOn();
    }
}

void OwnershipKeeper::join()
{
    const Instant now = this->clock.now();
    this->nextJoinAt = now + this->times.timeToLive / joinsPerTimeToLive;
    this->group.join(this->name, this->generation, this->times.timeToLive, joinTimeout,
                     [this, now](const Membership &membership) {
                         this->inFlight = false;
                         this->joinAnswered(now, membership);
                     });
}

void OwnershipKeeper::lookOn()
{
    this->nextJoinAt = this->clock.now() + this->times.timeToLive / looksPerTimeToLive;
    this->group.findHolder(joinTimeout, [this](const PartitionHolder &holder) {
        this->inFlight = false;
        if (holder.outcome == StoreOutcome::Done) {
            this->membersCounted(holder.members);
        }
    });
}

void OwnershipKeeper::membersCounted(std::uint32_t members)
{
    if (members >= fewMembers) {
        this->membersMissing = false;
        return;
    }
    const Instant now = this->clock.now();
    if (this->membersMissing) {
        this->member = true;
        this->nextJoinAt = now;
        return;
    }
    // All that look on see it at once: each looks again after a time of its own before it joins.
    this->membersMissing = true;
    std::uniform_int_distribution<std::int64_t> spread(0, joinSpread.count());
    this->nextJoinAt = now + this->times.patience + milliseconds(spread(this->random));
}

void OwnershipKeeper::joinAnswered(Instant sentAt, const Membership &membership)
{
    if (membership.outcome != StoreOutcome::Done || this->leaving) {
        return;
    }
    const bool changed = membership.generation != this->generation;
    this->generation = membership.generation;
    if (changed) {
        // The next join confirms the change, so that whoever holds the partition now may have it.
        this->nextJoinAt = this->clock.now();
    }
    if (!membership.holdsPartition) {
        this->handOver("the store has given it to another node");
        return;
    }
    const bool tooLate = changed && sentAt >= this->confirmedAt + this->times.timeToLive;
    if (this->owner && (this->handedOver || tooLate)) {
        this->lose("it was another node's in between, or may have been");
    }
    this->confirmedAt = sentAt;
    if (this->owner || membership.generation <= this->supersededAt) {
        return;
    }
    this->owner = true;
    this->handedOver = false;
    this->token = membership.generation;
    this->decisions.write(DecisionLine(Event::OwnershipGained).with("fencing_token", this->token));
    this->listener.ownershipGained(this->token);
}

void OwnershipKeeper::handOver(std::string_view reason)
{
    if (!this->owner || this->handedOver) {
        return;
    }
    this->handedOver = true;
    this->supersededAt = std::max(this->supersededAt, this->token);
    this->decisions.write(DecisionLine(Event::OwnershipHandedOver)
                                  .with("fencing_token", this->token)
                                  .with("reason", reason));
}

void OwnershipKeeper::superseded(std::string_view by)
{
    if (this->owner) {
        this->supersededAt = this->generation;
        this->lose(by);
    }
}

void OwnershipKeeper::lose(std::string_view reason)
{
    this->owner = false;
    this->decisions.write(DecisionLine(Event::OwnershipLost)
                                  .with("fencing_token", this->token)
                                  .with("reason", reason));
    this->listener.ownershipLost(reason);
}

void OwnershipKeeper::leave()
{
    this->leaving = true;
    this->handOver("this node stops");
    if (this->member) {
        this->group.leave(this->name, joinTimeout, [] {});
    }
}

} // namespace bulrush
