#include "bulrush_entry/owner/MemberName.h"

#include <charconv>

namespace bulrush {

namespace {

constexpr char incarnationMark = '#';
constexpr char nodeMark = '@';
constexpr char sizeMark = '*';

/** Returns the number that is the whole text; nullopt if it is none. */
template<class Number>
std::optional<Number> numberIn(std::string_view text)
{
    Number number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool isNumber = error == std::errc() && end == text.data() + text.size();
    return isNumber ? std::optional<Number>(number) : std::nullopt;
}

} // namespace

std::string MemberName::text() const
{
    const std::string size =
            this->milliCores == 0 ? std::string() : sizeMark + std::to_string(this->milliCores);
    return this->endpoint.text() + incarnationMark + std::to_string(this->incarnation) + nodeMark
            + this->node + size;
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
    const auto incarnation = numberIn<std::uint64_t>(rest.substr(0, nodeAt));
    if (!incarnation) {
        return std::nullopt;
    }
    name.incarnation = *incarnation;
    if (nodeAt == std::string_view::npos) {
        return name;
    }
    const std::string_view node = rest.substr(nodeAt + 1);
    const std::size_t sizeAt = node.rfind(sizeMark);
    const auto size = sizeAt == std::string_view::npos
            ? std::nullopt
            : numberIn<std::uint32_t>(node.substr(sizeAt + 1));
    name.node = size ? node.substr(0, sizeAt) : node;
    name.milliCores = size.value_or(0);
    return name;
}

bool MemberName::provesEndOf(const MemberName &other) const
{
    return !this->node.empty() && this->node == other.node && this->endpoint == other.endpoint
            && this->incarnation != other.incarnation;
}

} // namespace bulrush
