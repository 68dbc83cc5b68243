#pragma once

#include "bulrush_core/time/Clock.h"
#include "bulrush_steps/ports/KeyedLog.h"

#include <cstdint>
#include <functional>
#include <string>

namespace bulrush {

/** What a member of the group was told. */
struct Membership
{
    StoreOutcome outcome = StoreOutcome::Unknown;
    /** Rises with each change of the group. */
    std::uint64_t generation = 0;
    /** Whether the scheduler's partition is this member's. */
    bool holdsPartition = false;
};

/** Who holds the scheduler's partition. */
struct PartitionHolder
{
    StoreOutcome outcome = StoreOutcome::Unknown;
    /** Empty when nobody holds it. */
    std::string member;
    /** How many members hold any partition of the group. */
    std::uint32_t members = 0;
};

/** The platform's group of members, which hands the scheduler's partition to one of them. */
class MemberGroup
{
public:
    MemberGroup() = default;
    virtual ~MemberGroup() = default;
    MemberGroup(const MemberGroup &) = delete;
    MemberGroup &operator=(const MemberGroup &) = delete;

    /** Joins, or stays a member for another time to live. */
    virtual void join(const std::string &member, std::uint64_t generation, milliseconds timeToLive,
                      Duration timeout, std::function<void(Membership)> callback) = 0;

    /** Leaves at once. */
    virtual void leave(const std::string &member, Duration timeout,
                       std::function<void()> callback) = 0;

    /** Asks who holds the partition. */
    virtual void findHolder(Duration timeout, std::function<void(PartitionHolder)> callback) = 0;
};

} // namespace bulrush
