#pragma once

#include "bulrush_core/time/Clock.h"
#include "bulrush_steps/ports/MemberGroup.h"

#include <functional>
#include <random>
#include <string>
#include <string_view>

namespace bulrush {

class DecisionLog;

/** Durations of ownership. */
struct OwnershipTimes
{
    /** A member that the store has not heard of for so long loses its partition. */
    milliseconds timeToLive { 1500 };
    /** How long an owner goes on without the store after that; workers' fences stop it sooner. */
    milliseconds extension { 6000 };
    /** The longest lease that an owner grants. */
    milliseconds lease { 4000 };
    /** How long a node leaves a missing membership to others: machines with more processor time
       than this one make better owners and come first. */
    milliseconds patience { 0 };

    /** Returns after what time from its resignation an owner's orders can have no effect. */
    milliseconds resignedOrdersOver() const;

    /** Returns after what time from a take-over no order of the former owner can have an effect. */
    milliseconds formerOrdersOver() const;
};

/**
    Takes part in the group and knows from when and until when this node is the owner.

    Only a few nodes are members; the others look on and join when members are gone.

    An owner whose partition goes to another node, or that is about to stop, orders on until it
    finds its successor's traces or its time is over: the successor may need a while to read what is
    on record, and waits for the former owner's orders as long as they may have an effect.

    All times count from when a successful join was sent, by a clock that counts while the machine
    is suspended.
*/
class OwnershipKeeper
{
public:
    /** Receives changes. */
    struct Listener
    {
        virtual ~Listener() = default;

        /** Called when the partition is this node's. @param fencingToken higher than any before */
        virtual void ownershipGained(std::uint64_t fencingToken) = 0;

        virtual void ownershipLost(std::string_view reason) = 0;
    };

    OwnershipKeeper(const Clock &clock, MemberGroup &group, std::string memberName,
                    const OwnershipTimes &times, DecisionLog &decisions, Listener &listener);

    /** Joins again when it is time; ends an ownership whose time is over. */
    void tick();

    /** Returns whether this node may order at this moment. */
    bool isOwner() const;

    /** Returns whether this node would take over if the owner were gone. */
    bool isMember() const { return this->member; }

    /** Returns whether no other node can be the owner at this moment. */
    bool isSoleOwner() const;

    std::uint64_t fencingToken() const { return this->token; }

    /** Gives up an ownership that another node has taken over. */
    void superseded(std::string_view by);

    /** Leaves the group for good; an owner orders on until its successor does. */
    void leave();

private:
    void join();
    void lookOn();
    void membersCounted(std::uint32_t members);
    void joinAnswered(Instant sentAt, const Membership &membership);
    void handOver(std::string_view reason);
    void lose(std::string_view reason);

    const Clock &clock;
    MemberGroup &group;
    const std::string name;
    const OwnershipTimes times;
    DecisionLog &decisions;
    Listener &listener;
    bool inFlight = false;
    bool leaving = false;
    bool member = false;
    /** Whether members were missing at the last look. */
    bool membersMissing = false;
    Instant nextJoinAt {};
    std::minstd_rand random;
    std::uint64_t generation = 0;
    bool owner = false;
    /** Whether the partition is another node's by now, or left to one. */
    bool handedOver = false;
    std::uint64_t token = 0;
    /** When the last join that succeeded was sent. */
    Instant confirmedAt {};
    /** The partition is not taken again at a generation up to this one. */
    std::uint64_t supersededAt = 0;
};

} // namespace bulrush
