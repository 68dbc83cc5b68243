#pragma once

#include "bulrush_core/time/Clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush {

/** What an entry of the keys stream does with a key. */
enum class KeyVerb : std::uint8_t {
    /** An arrival asks for the right to send the key's request. */
    Claim,

    /** The arrival that claimed the key never sent its request and never will. */
    Release,

    /** The request was answered by a target. */
    Complete,
};

/** One operation on the keys stream. */
struct KeyOperation
{
    KeyVerb verb = KeyVerb::Claim;
    std::string key;

    /** Unique id of the arrival of a request at a node. */
    std::string arrival;

    /** The answer's HTTP status; of a completion only. */
    int status = 0;

    bool operator==(const KeyOperation &) const = default;
};

/** An entry of the keys stream: a group of operations that take effect in order. */
struct KeyEntry
{
    /** The writer's calendar time when it made the entry. */
    UnixSeconds writtenAt = 0;

    std::vector<KeyOperation> operations;

    /** Returns the entry's text on the log. */
    std::string text() const;

    /** Parses an entry's text; nothing when it is malformed. */
    static std::optional<KeyEntry> parse(std::string_view text);
};

} // namespace bulrush
