#pragma once

#include "bulrush_core/time/Clock.h"
#include "bulrush_routing/targets/TargetTable.h"

#include <cstdint>

namespace bulrush::routing {

/** A caller's request on this node. */
enum class RequestId : std::uint64_t {};

/** One send of a request to a target; never used twice on a node. */
enum class AttemptId : std::uint64_t {};

/** Who waits for the answer; a lower value goes first. */
enum class RequestClass : std::uint8_t { Interactive, Bulk };

/** A caller's request as far as routing needs to know it. */
struct Request
{
    RequestId id {};
    /** After this the caller is told that the request was given up. */
    Instant deadline {};
    RequestClass requestClass = RequestClass::Interactive;
    /** Whether running it twice is the same as running it once. */
    bool idempotent = false;
    /** Longest time that a target may send nothing before the attempt counts as lost. */
    Duration silenceBound = milliseconds(500);
};

/** The head of a target's answer. */
struct AnswerHead
{
    TargetReport report;
    /** Whether the status tells of a fault of the target itself (5xx). */
    bool fault = false;
};

} // namespace bulrush::routing
