#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush {

/** A member of the group and the processor time that its machine has. */
struct MemberSize
{
    std::string name;
    /** In thousandths of a core; 0 when it is not known. */
    std::uint32_t milliCores = 0;
};

/**
    Compares a node's processor time with that of the group's members.

    Only a clear difference counts, so that nodes which are nearly equal never give way to each
    other. A member whose processor time is not known is neither smaller nor larger.
*/
class GroupSizes
{
public:
    /** @param ownSize    the node that compares; it may be a member or not
        @param allMembers the members of the group */
    GroupSizes(MemberSize ownSize, std::vector<MemberSize> allMembers);

    /** Returns the number of members that clearly have less processor time than the node. */
    std::uint32_t smallerMembers() const;

    /** Returns the largest member that clearly has more processor time than the node; nullptr if
        there is none. */
    const MemberSize *largerMember() const;

    /** Returns whether the node is one of the smallest members.
        @param count  how many members that are
        @param except a member that is not counted, such as the owner */
    bool isAmongSmallest(std::uint32_t count, std::string_view except) const;

private:
    const MemberSize own;
    const std::vector<MemberSize> members;
};

} // namespace bulrush
