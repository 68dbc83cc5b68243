#pragma once

#include "DispatcherFixture.h"

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace bulrush::test {

/** A member group whose answers the test sets; they are given within the call. */
class FakeGroup : public MemberGroup
{
public:
    void join(const std::string & /*member*/, std::uint64_t /*generation*/,
              milliseconds /*timeToLive*/, Duration /*timeout*/,
              std::function<void(Membership)> callback) override
    {
        ++this->joins;
        if (this->countsChanges && this->up && !this->present) {
            this->present = true;
            ++this->generation;
        }
        if (this->holdsJoins) {
            this->heldJoin = std::move(callback);
        } else if (this->up) {
            callback({ StoreOutcome::Done, this->generation, this->holdsPartition });
        } else {
            callback({});
        }
    }

    void leave(const std::string & /*member*/, Duration /*timeout*/,
               std::function<void(StoreOutcome)> callback) override
    {
        ++this->leaves;
        if (this->countsChanges && this->up && this->present && !this->losesLeaves) {
            this->present = false;
            ++this->generation;
        }
        if (this->holdsLeaves) {
            this->heldLeave = std::move(callback);
        } else {
            callback(this->leaveOutcome);
        }
    }

    void findHolder(Duration /*timeout*/, std::function<void(PartitionHolder)> callback) override
    {
        ++this->searches;
        callback({ StoreOutcome::Done, this->holder, this->members, this->names });
    }

    bool up = true;
    /** Whether joins stay unanswered; the test answers the last one through heldJoin. */
    bool holdsJoins = false;
    std::function<void(Membership)> heldJoin;
    /** Whether each change of the member makes a higher generation, as the store does. */
    bool countsChanges = false;
    bool present = false;
    /** Whether leaves are not carried out. */
    bool losesLeaves = false;
    /** Whether leaves stay unanswered; the test answers the last one through heldLeave. */
    bool holdsLeaves = false;
    std::function<void(StoreOutcome)> heldLeave;
    StoreOutcome leaveOutcome = StoreOutcome::Done;
    bool holdsPartition = true;
    std::uint64_t generation = 5;
    std::uint32_t members = 0;
    std::string holder = "other";
    std::vector<std::string> names;
    int searches = 0;
    int joins = 0;
    int leaves = 0;
};

class OwnershipFixture : public OwnershipManager::Listener
{
public:
    explicit OwnershipFixture(const OwnershipTimings &ownershipTimes = times())
        : manager(clock, group, "10.0.0.1:7000#1", ownershipTimes, decisions, *this)
    {
    }

    static OwnershipTimings times()
    {
        OwnershipTimings times;
        times.timeToLive = milliseconds(1500);
        times.outageGrace = milliseconds(6000);
        times.lease = milliseconds(4000);
        return times;
    }

    void ownershipGained(std::uint64_t token) override
    {
        this->gained.push_back(token);
        if (this->whenGained) {
            this->whenGained(token);
        }
    }
    void ownershipLost(std::string_view /*reason*/) override { ++this->losses; }
    bool recordsAreCurrent() const override { return this->current; }
    std::uint32_t milliCoresOf(std::string_view member) const override
    {
        const auto found = this->sizes.find(member);
        return found == this->sizes.end() ? 0 : found->second;
    }
    bool mayHandOver() const override { return this->calm; }
    void placeLeft(bool wasOwner) override { ++(wasOwner ? this->ownersLeft : this->membersLeft); }

    void runFor(milliseconds span)
    {
        for (milliseconds passed { 0 }; passed < span; passed += milliseconds(10)) {
            this->clock.advance(milliseconds(10));
            this->manager.tick();
        }
    }

    ManualClock clock;
    FakeGroup group;
    NullDecisionLog decisions;
    std::vector<std::uint64_t> gained;
    std::function<void(std::uint64_t)> whenGained;
    int losses = 0;
    bool current = true;
    /** The processor time of members, by name; that of others is not known. */
    std::map<std::string, std::uint32_t, std::less<>> sizes;
    /** Whether a change of owner would do little harm. */
    bool calm = true;
    int ownersLeft = 0;
    int membersLeft = 0;
    OwnershipManager manager;
};

} // namespace bulrush::test
