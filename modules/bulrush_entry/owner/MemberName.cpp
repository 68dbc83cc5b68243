#include "bulrush_entry/owner/MemberName.h"

namespace bulrush {

std::string memberName(const Endpoint &endpoint, std::uint64_t incarnation)
{
    return endpoint.text() + "#" + std::to_string(incarnation);
}

std::optional<Endpoint> endpointOfMember(std::string_view member)
{
    return Endpoint::parse(member.substr(0, member.find('#')));
}

} // namespace bulrush
