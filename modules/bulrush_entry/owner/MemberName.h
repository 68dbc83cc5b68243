#pragma once

#include "bulrush_core/addresses/Endpoint.h"
#include "bulrush_core/ids/Id.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bulrush {

/** The parts of the name under which a process joins the group. */
struct MemberName
{
    /** Where the process listens for other nodes. */
    Endpoint endpoint;
    /** Distinguishes this run of the process from others: its start, in milliseconds since 1970. */
    std::uint64_t incarnation = 0;
    /** Empty in the names of earlier versions. */
    std::string node;
    /** The processor time of the process's machine in thousandths of a core; 0 in the names of
        earlier versions. */
    std::uint32_t milliCores = 0;

    /** Returns the name as text. */
    std::string text() const;

    /** Returns the parts of a name; nullopt when it is malformed. */
    static std::optional<MemberName> parse(std::string_view text);

    /** Returns whether a process with this name can exist only after another one has ended: both
        are runs of the same node at the same address. The node is compared because another machine
        may have been given the address of one that still runs behind a cut. Incarnations are only
        compared for difference, as the time of day may have stepped back. */
    bool provesEndOf(const MemberName &other) const;
};

} // namespace bulrush
