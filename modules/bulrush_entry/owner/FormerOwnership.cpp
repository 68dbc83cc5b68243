#include "bulrush_entry/owner/FormerOwnership.h"

#include "bulrush_steps/ownership/OwnershipManager.h"

namespace bulrush {

bool endFormerOwnership(OwnershipManager &ownership, const MemberName &ownName,
                        std::string_view member, std::uint64_t askedToken, std::uint64_t askerToken)
{
    if (member == ownName.text()) {
        return ownership.yieldTo(askerToken, askedToken);
    }
    const std::optional<MemberName> earlier = MemberName::parse(member);
    return earlier && ownName.provesEndOf(*earlier);
}

} // namespace bulrush
