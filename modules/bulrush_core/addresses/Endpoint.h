#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace bulrush {

/** An IP address and a TCP port. */
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    bool operator==(const Endpoint &) const = default;

    /** Orders by address, then port. */
    bool operator<(const Endpoint &other) const
    {
        return std::tie(this->address, this->port) < std::tie(other.address, other.port);
    }

    /** Parses "address:port"; returns none when the text is malformed. */
    static std::optional<Endpoint> parse(std::string_view text);

    /** Returns "address:port". */
    std::string text() const { return this->address + ":" + std::to_string(this->port); }
};

} // namespace bulrush

/** Allows endpoints as keys of unordered containers. */
template<>
struct std::hash<bulrush::Endpoint>
{
    std::size_t operator()(const bulrush::Endpoint &endpoint) const noexcept
    {
        constexpr std::size_t multiplier = 65599;
        return std::hash<std::string>()(endpoint.address) * multiplier + endpoint.port;
    }
};
