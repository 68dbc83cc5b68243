#pragma once

#include "bulrush_core/time/Clock.h"
#include "bulrush_steps/ports/KeyedLog.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace bulrush {

/** The result of a join. */
struct Membership
{
    StoreOutcome outcome = StoreOutcome::Unknown;
    /** Increases with each change of the group. */
    std::uint64_t generation = 0;
    /** Whether the scheduler's partition is assigned to this member. */
    bool holdsPartition = false;
};

/** The member that holds the scheduler's partition. */
struct PartitionHolder
{
    StoreOutcome outcome = StoreOutcome::Unknown;
    /** Empty when no member holds the partition. */
    std::string member;
    /** Number of members that hold any partition of the group. */
    std::uint32_t members = 0;
    /** Their names. */
    std::vector<std::string> names;
};

/** Interface to the platform's member group, which assigns the scheduler's partition to one of its
    members. */
class MemberGroup
{
public:
    MemberGroup() = default;
    virtual ~MemberGroup() = default;
    MemberGroup(const MemberGroup &) = delete;
    MemberGroup &operator=(const MemberGroup &) = delete;

    /** Joins the group, or extends the membership by another time to live. */
    virtual void join(const std::string &member, std::uint64_t generation, milliseconds timeToLive,
                      Duration timeout, std::function<void(Membership)> callback) = 0;

    /** Leaves the group immediately. */
    virtual void leave(const std::string &member, Duration timeout,
                       std::function<void(StoreOutcome)> callback) = 0;

    /** Queries which member holds the partition. */
    virtual void findHolder(Duration timeout, std::function<void(PartitionHolder)> callback) = 0;
};

} // namespace bulrush
