#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace bulrush {

/** An IP number and a TCP port. */
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;

    /** Returns "address:port". */
    std::string text() const { return this->address + ":" + std::to_string(this->port); }
};

} // namespace bulrush
