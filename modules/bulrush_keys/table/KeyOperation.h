#pragma once

#include "bulrush_core/time/Clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush {

/** Kinds of operations on a key. */
enum class KeyVerb : std::uint8_t {
    /** An arrival requests the right to send the key's request. */
    Claim,

    /** The arrival that claimed the key did not send its request and will not send it. */
    Release,

    /** The request was answered by a target. */
    Complete,
};

/** One operation on the keys stream. */
struct KeyOperation
{
    KeyVerb verb = KeyVerb::Claim;
    std::string key;

    /** Unique id of one arrival of a request at a node. */
    std::string arrival;

    /** The HTTP status of the answer; used by Complete only. */
    int status = 0;

    bool operator==(const KeyOperation &) const = default;
};

/** An entry of the keys stream: a batch of operations that are applied in order. */
struct KeyEntry
{
    /** The writer's calendar time when it created the entry. */
    UnixSeconds writtenAt = 0;

    std::vector<KeyOperation> operations;

    /** Returns the entry encoded as text for the log. */
    std::string text() const;

    /** Parses an entry's text; nullopt if it is malformed or too large. */
    static std::optional<KeyEntry> parse(std::string_view text);
};

} // namespace bulrush
