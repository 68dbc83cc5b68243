#pragma once

#include "bulrush_core/time/Clock.h"

#include <optional>
#include <string>
#include <string_view>

namespace bulrush {

/** Bounds within which a key is accepted. */
struct KeyTimes
{
    /** How long after its issue a key is accepted. The log has to keep its entries longer. */
    seconds lifetime { 3'600 };

    /** How far ahead of this node's calendar a key's issue time may lie. */
    seconds clockAllowance { 5 };
};

/** An idempotency key of a caller: "<unix seconds of issue>-<opaque>". */
struct IdempotencyKey
{
    /** The greatest length of a key's text. */
    static constexpr std::size_t maxLength = 64;

    UnixSeconds issuedAt = 0;
    std::string text;

    /** Parses a key; letters, digits, '-', '_' and '.' may follow the issue time. */
    static std::optional<IdempotencyKey> parse(std::string_view text);
};

} // namespace bulrush
