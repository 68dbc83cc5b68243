#pragma once

#include "bulrush_entry/owner/MemberName.h"

#include <cstdint>
#include <string_view>

namespace bulrush {

class OwnershipManager;

/** Answers a newer owner that asks about an earlier ownership of a process at this address. Ends
   the ownership if it is this process's own.
    @param ownership  of this process
    @param ownName    the name of this process in the group
    @param member     the name in the group of the process that was the owner
    @param askedToken the fencing token of that ownership
    @param askerToken the fencing token of the newer owner
    @returns whether no more commands are sent with the asked token, now or later */
bool endFormerOwnership(OwnershipManager &ownership, const MemberName &ownName,
                        std::string_view member, std::uint64_t askedToken,
                        std::uint64_t askerToken);

} // namespace bulrush
