#pragma once

#include "bulrush_core/addresses/Endpoint.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bulrush {

/** Returns the name under which a process joins the group.
    @param endpoint    where it listens for other nodes
    @param incarnation distinguishes this run of the process from earlier ones */
std::string memberName(const Endpoint &endpoint, std::uint64_t incarnation);

/** Returns where a member listens for other nodes; nullopt when the name is malformed. */
std::optional<Endpoint> endpointOfMember(std::string_view member);

} // namespace bulrush
