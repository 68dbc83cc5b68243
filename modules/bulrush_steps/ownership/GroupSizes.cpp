#include "bulrush_steps/ownership/GroupSizes.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace bulrush {

namespace {

/** How many times as much processor time a clearly larger machine has. */
constexpr std::uint32_t clearRatio = 2;

bool isClearlySmaller(const MemberSize &small, const MemberSize &large)
{
    return small.milliCores > 0 && large.milliCores / clearRatio >= small.milliCores;
}

} // namespace

GroupSizes::GroupSizes(MemberSize ownSize, std::vector<MemberSize> allMembers)
    : own(std::move(ownSize))
    , members(std::move(allMembers))
{
}

std::uint32_t GroupSizes::smallerMembers() const
{
    const auto isSmaller = [this](const MemberSize &member) {
        return isClearlySmaller(member, this->own);
    };
    return static_cast<std::uint32_t>(std::ranges::count_if(this->members, isSmaller));
}

const MemberSize *GroupSizes::largerMember() const
{
    const auto largest = std::ranges::max_element(this->members, {}, &MemberSize::milliCores);
    const bool found = largest != this->members.end() && isClearlySmaller(this->own, *largest);
    return found ? &*largest : nullptr;
}

bool GroupSizes::isAmongSmallest(std::uint32_t count, std::string_view except) const
{
    const auto comesBefore = [this, except](const MemberSize &member) {
        return member.name != except && member.milliCores > 0
                && std::tie(member.milliCores, member.name)
                < std::tie(this->own.milliCores, this->own.name);
    };
    return this->own.name != except && std::ranges::count_if(this->members, comesBefore) < count;
}

} // namespace bulrush
