#pragma once

#include "bulrush_core/time/Clock.h"
#include "bulrush_routing/targets/TargetTable.h"

#include <cstdint>

namespace bulrush::routing {

/** Identifies a caller's request on this node. */
enum class RequestId : std::uint64_t {};

/** Identifies one attempt to send a request to a target; never reused on a node. */
enum class AttemptId : std::uint64_t {};

/** Priority class of a request; a lower value has precedence. */
enum class RequestClass : std::uint8_t { Interactive, Bulk };

/** The properties of a caller's request that routing depends on. */
struct Request
{
    RequestId id {};
    /** Time at which routing ends the request and reports the outcome to the caller. */
    Instant deadline {};
    RequestClass requestClass = RequestClass::Interactive;
    /** Whether running the request twice has the same effect as running it once. */
    bool idempotent = false;
    /** Maximum time without data from the target before the attempt counts as lost. */
    Duration inactivityTimeout = milliseconds(500);
};

/** Head of a target's answer. */
struct AnswerHead
{
    TargetReport report;
    /** Whether the status indicates an error of the target itself (5xx). */
    bool serverError = false;
};

} // namespace bulrush::routing
