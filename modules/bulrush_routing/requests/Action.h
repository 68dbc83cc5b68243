#pragma once

#include "bulrush_routing/connections/ConnectionPool.h"
#include "bulrush_routing/requests/Request.h"

#include <variant>

namespace bulrush::routing {

/** Outcome of a request as reported to the caller. */
enum class Outcome : std::uint8_t {
    /** The complete answer of the target was forwarded to the caller. */
    Answered,
    /** No attempt ran: each one ended before its first byte was sent, or was refused by its target
        before it started. */
    NotRun,
    /** The request may have run; no part of an answer was forwarded to the caller. */
    Unknown,
    /** A part of the answer was forwarded to the caller and the rest is lost. The connection to
        the caller has to be closed, so that the answer does not appear complete. */
    Truncated,
};

/** Send the request on a connection; open the connection first if it is closed. */
struct Send
{
    RequestId request;
    AttemptId attempt;
    TargetId target;
    ConnectionIndex connection;
};

/** Close the connection of the attempt without writing anything more. Later events of the attempt
    are ignored. */
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

/** Report the outcome of the request to the caller. */
struct Answer
{
    RequestId request;
    Outcome outcome;
    /** Time after which the caller may retry; zero unless the outcome is NotRun. */
    Duration retryAfter {};
};

using Action = std::variant<Send, Abandon, CloseIdle, Answer>;

} // namespace bulrush::routing
