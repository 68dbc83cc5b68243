#include "bulrush_entry/owner/MemberName.h"

#include <charconv>

namespace bulrush {

namespace {

constexpr char incarnationMark = '#';
constexpr char nodeMark = '@';

} // namespace

std::string MemberName::text() const
{
    return this->endpoint.text() + incarnationMark + std::to_string(this->incarnation) + nodeMark
            + this->node;
}

std::optional<MemberName> MemberName::parse(std::string_view text)
{
    const std::size_t incarnationAt = text.find(incarnationMark);
    const std::optional<Endpoint> endpoint = Endpoint::parse(text.substr(0, incarnationAt));
    if (!endpoint || incarnationAt == std::string_view::npos) {
        return std::nullopt;
    }
    MemberName name;
    name.endpoint = *endpoint;
    const std::string_view rest = text.substr(incarnationAt + 1);
    const std::size_t nodeAt = rest.find(nodeMark);
    const std::string_view number = rest.substr(0, nodeAt);
    const auto [end, error] =
            std::from_chars(number.data(), number.data() + number.size(), name.incarnation);
    if (error != std::errc() || end != number.data() + number.size()) {
        return std::nullopt;
    }
    if (nodeAt != std::string_view::npos) {
        name.node = rest.substr(nodeAt + 1);
    }
    return name;
}

bool MemberName::provesEndOf(const MemberName &other) const
{
    return !this->node.empty() && this->node == other.node && this->endpoint == other.endpoint
            && this->incarnation != other.incarnation;
}

} // namespace bulrush
