#pragma once

#include <cstdint>
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
