#pragma once

#include "bulrush_core/time/Clock.h"

#include <optional>
#include <string>
#include <string_view>

namespace bulrush {

/** Limits on the age of an accepted key. */
struct KeyValidity
{
    /** How long a key is accepted after its issue. The log must retain its entries longer. */
    seconds lifetime { 3'600 };

    /** How far a key's issue time may be ahead of this node's calendar time. */
    seconds clockAllowance { 5 };
};

/** A caller's idempotency key: "<unix seconds of issue>-<opaque>". */
struct IdempotencyKey
{
    /** The maximum length of a key's text, in characters. */
    static constexpr std::size_t maxLength = 64;

    UnixSeconds issuedAt = 0;
    std::string text;

    /** Parses a key; nullopt if it is malformed. The opaque part consists of letters, digits, '-',
        '_' and '.'. */
    static std::optional<IdempotencyKey> parse(std::string_view text);
};

} // namespace bulrush
