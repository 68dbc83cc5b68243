#include "bulrush_steps/ownership/OwnershipKeeper.h"

#include "bulrush_core/events/DecisionLog.h"

#include <algorithm>
#include <utility>

namespace bulrush {

namespace {

/** Joins sent in one time to live. */
constexpr int joinsPerTimeToLive = 3;

/** A worker's clock may run 2 % slow, and messages take time. */
constexpr double slowestClockRate = 0.98;
constexpr milliseconds clockSlack { 200 };

constexpr milliseconds joinTimeout { 800 };

} // namespace

milliseconds OwnershipTimes::formerOrdersOver() const
{
    const auto stretched =
            static_cast<std::int64_t>(static_cast<double>(this->lease.count()) / slowestClockRate);
    return this->timeToLive + this->extension + milliseconds(stretched) + clockSlack;
}

OwnershipKeeper::OwnershipKeeper(const Clock &systemClock, MemberGroup &memberGroup,
                                 std::string memberName, const OwnershipTimes &ownershipTimes,
                                 DecisionLog &decisionLog, Listener &ownershipListener)
    : clock(systemClock)
    , group(memberGroup)
    , member(std::move(memberName))
    , times(ownershipTimes)
    , decisions(decisionLog)
    , listener(ownershipListener)
{
}

bool OwnershipKeeper::isOwner() const
{
    const Instant validUntil = this->confirmedAt + this->times.timeToLive + this->times.extension;
    return this->owner && this->clock.now() < validUntil;
}

bool OwnershipKeeper::isSoleOwner() const
{
    return this->owner && this->clock.now() < this->confirmedAt + this->times.timeToLive;
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
    this->nextJoinAt = now + this->times.timeToLive / joinsPerTimeToLive;
    this->group.join(this->member, this->generation, this->times.timeToLive, joinTimeout,
                     [this, now, current = this->living](const Membership &membership) {
                         this->inFlight = false;
                         this->joinAnswered(now, membership);
                     });
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
        if (this->owner) {
            this->lose("the store has given it to another node");
        }
        return;
    }
    if (this->owner && changed && sentAt >= this->confirmedAt + this->times.timeToLive) {
        // It may have been another node's in between.
        this->lose("the store may have given it to another node meanwhile");
    }
    this->confirmedAt = sentAt;
    if (this->owner || membership.generation <= this->supersededAt) {
        return;
    }
    this->owner = true;
    this->token = membership.generation;
    this->decisions.write(DecisionLine(Event::OwnershipGained).with("fencing_token", this->token));
    this->listener.ownershipGained(this->token);
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
    if (this->owner) {
        this->lose("this node stops");
    }
    this->group.leave(this->member, joinTimeout, [] {});
}

} // namespace bulrush
