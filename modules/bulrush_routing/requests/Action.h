#pragma once

#include "bulrush_routing/connections/ConnectionPool.h"
#include "bulrush_routing/requests/Request.h"

#include <variant>

namespace bulrush::routing {

/** What the caller learns about the request. */
enum class Outcome : std::uint8_t {
    /** The whole answer of the target went to the caller. */
    Answered,
    /** No byte of any attempt left, or each target refused it unstarted. */
    NotRun,
    /** It may have run; nothing of an answer went to the caller. */
    Unknown,
    /** The answer's first part went to the caller and the rest is lost: break the connection. */
    Truncated,
};

/** Send the request on a connection, which is opened if it is closed. */
struct Send
{
    RequestId request;
    AttemptId attempt;
    TargetId target;
    ConnectionIndex connection;
};

/** Close the attempt's connection and write nothing more; later events of it are ignored. */
struct Abandon
{
    AttemptId attempt;
    TargetId target;
    ConnectionIndex connection;
};

/** Close an idle connection. */
struct CloseIdle
{
    TargetId target;
    ConnectionIndex connection;
};

/** Tell the caller how the request ended. */
struct Answer
{
    RequestId request;
    Outcome outcome;
    /** When the caller may try again; zero where that makes no sense. */
    Duration retryAfter {};
};

using Action = std::variant<Send, Abandon, CloseIdle, Answer>;

} // namespace bulrush::routing
