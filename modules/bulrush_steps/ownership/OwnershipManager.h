#pragma once

#include "bulrush_core/time/Clock.h"
#include "bulrush_steps/ownership/GroupSizes.h"
#include "bulrush_steps/ports/MemberGroup.h"

#include <functional>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace bulrush {

class DecisionLog;

/** Durations that the ownership protocol uses. */
struct OwnershipTimings
{
    /** A member that does not rejoin within this time loses its partition. */
    milliseconds timeToLive { 1500 };
    /** How long beyond timeToLive an owner continues while the store does not answer. Fencing by
        the workers ends it earlier if there is a newer owner. */
    milliseconds outageGrace { 6000 };
    /** Maximum lease duration that an owner grants. */
    milliseconds lease { 4000 };
    /** Maximum lease duration that a worker has by an owner's command, which may have been made for
        a former process of the worker. */
    milliseconds maxLease { 6000 };
    /** Additional delay before this node joins when members are missing, so that machines with more
        processor time, which make better owners, join first. */
    milliseconds joinDelay { 0 };

    /** Returns how long after a resignation the owner's commands may still take effect. */
    milliseconds resignedOwnerSettleTime() const;

    /** Returns how long after a takeover commands of the previous owner may still take effect. */
    milliseconds previousOwnerSettleTime() const;

    /** Returns the same for a previous owner that put no roster on record: it renewed leases only
        while no other node could be the owner. */
    milliseconds unreadyOwnerSettleTime() const;
};

/**
    Participates in the member group and determines whether this node is the owner.

    Only a few nodes are members. The others poll the group and join when members are missing, once
    they have read the records, so that each member is able to take over soon. A member that cannot
    keep up with the records leaves.

    A node also joins a group that is full of members with clearly less processor time. These look
    at the group after it has changed. Those that are not needed leave, and an owner then hands over
    to the larger members, as a stopping one does, unless this is a bad moment for a takeover.

    An owner that loses its partition to another node, or that is about to stop, continues to send
    commands until it finds evidence of its successor or its ownership expires. The successor may
    need some time to read the log, and waits until commands of the previous owner can no longer
    take effect.

    Each ownership is a term of its own, and its fencing token is the group's generation at which it
    began. No generation begins two terms. When the store assigns the partition to this node at a
    generation whose term has ended, the node leaves the group and joins again, which makes a higher
    one.

    All times are measured from the sending of a successful join, by a clock that also advances
    while the machine is suspended.
*/
class OwnershipManager
{
public:
    /** Receives changes of the ownership. */
    struct Listener
    {
        virtual ~Listener() = default;

        /** Called when this node becomes the owner. @param fencingToken higher than that of any
            previous owner, and than that of any earlier ownership of this node */
        virtual void ownershipGained(std::uint64_t fencingToken) = 0;

        virtual void ownershipLost(std::string_view reason) = 0;

        /** Returns whether the records were read so lately that a takeover needs only the few that
            follow. */
        virtual bool recordsAreCurrent() const = 0;

        /** Returns the processor time of a member's machine in thousandths of a core; 0 when it is
            not known. @param member its name in the group */
        virtual std::uint32_t milliCoresOf(std::string_view member) const = 0;

        /** Returns whether a change of owner does little harm now: this node's takeover and its
            wait for former owners are over, and the store is quick. */
        virtual bool mayHandOver() const = 0;

        /** Called when this node leaves its place in the group to a larger one.
            @param wasOwner whether it gives the ownership up with it */
        virtual void placeLeft(bool wasOwner) = 0;
    };

    OwnershipManager(const Clock &clock, MemberGroup &group, std::string memberName,
                     const OwnershipTimings &times, DecisionLog &decisions, Listener &listener);

    /** Joins or polls the group when due, and ends an expired ownership. */
    void tick();

    /** Returns whether this node may currently send commands. */
    bool isOwner() const;

    /** Returns whether this node is a member of the group and can become the owner. */
    bool isMember() const { return this->member; }

    /** Returns whether this node joins the group as soon as its records are current. */
    bool isCandidate() const { return this->candidate; }

    /** Returns whether currently no other node can be the owner. */
    bool isSoleOwner() const;

    std::uint64_t fencingToken() const { return this->token; }

    /** Ends the ownership because another node has become the owner.
        @param by where this was found */
    void superseded(std::string_view by);

    /** Ends the ownership if its token is lower than that of a newer owner, and accepts none with
        such a token again. Does nothing unless newerToken is higher than askedToken.
        @param newerToken the fencing token of the owner that asks
        @param askedToken the fencing token of the ownership that it asks about
        @returns whether this node sends no commands with the asked token, now or later */
    bool yieldTo(std::uint64_t newerToken, std::uint64_t askedToken);

    const std::string &memberName() const { return this->name; }

    /** Leaves the group permanently, and again until the store confirms it. An owner continues to
       send commands until its successor takes over or the ownership expires. */
    void leave();

private:
    /** Number of members that the group is kept at: the owner and its standbys. */
    static constexpr std::uint32_t targetMemberCount = 3;

    void join();
    void pollGroup();
    void handleMembers(const PartitionHolder &holder);
    GroupSizes sizesOf(const std::vector<std::string> &members) const;
    /** Sets when this member next looks whether a larger one is in the group. */
    void scheduleReview();
    bool reviewIsDue();
    void reviewGroup();
    void handleReview(const PartitionHolder &holder);
    void leavePlace(const MemberSize &larger, std::uint32_t members);
    void leaveForOthers();
    void handleJoinAnswer(Instant sentAt, const Membership &membership);
    /** Returns whether the last confirmation excludes that another node is the owner at a time. */
    bool isConfirmedAt(Instant time) const;
    void markUsed(std::uint64_t usedUpTo);
    void leaveForNewGeneration();
    void leaveForNow(std::function<void()> answered);
    void sendLeave();
    void stepDownIfBehind();
    void handOver(std::string_view reason);
    void loseOwnership(std::string_view reason);

    const Clock &clock;
    MemberGroup &group;
    const std::string name;
    const OwnershipTimings times;
    DecisionLog &decisions;
    Listener &listener;
    bool inFlight = false;
    bool leaving = false;
    /** When a permanent leave is sent again; none once the store has confirmed it. */
    std::optional<Instant> nextLeaveAt;
    bool member = false;
    bool candidate = false;
    /** Since when the records of a member whose membership is confirmed are not current. */
    std::optional<Instant> behindSince;
    /** Whether members were missing at the last poll. */
    bool membersMissing = false;
    Instant nextJoinAt {};
    /** When this member next looks whether a larger one is in the group, if it is to. */
    std::optional<Instant> nextReviewAt;
    /** When the present ownership was gained. */
    Instant gainedAt {};
    std::minstd_rand random;
    std::uint64_t generation = 0;
    bool owner = false;
    /** Whether the partition was assigned to another node or released by this node. */
    bool handedOver = false;
    std::uint64_t token = 0;
    /** When the last successful join was sent. */
    Instant joinedAt {};
    /** When the last successful join was sent that confirmed this node's partition. */
    Instant confirmedAt {};
    /** No term begins at generations up to this one, which are those of terms that have ended, and
        since when this is known. */
    std::uint64_t usedGeneration = 0;
    Instant usedSince {};
    /** When this node may leave again for a new generation. */
    Instant nextRenewalAt {};
    /** Until when the store may carry out a leave that it has not answered, so that another node
        may become the owner although this one has joined since. */
    Instant leavePossibleUntil {};
};

} // namespace bulrush
