#pragma once

#include "bulrush_routing/requests/Action.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace bulrush::routing {

/** How an attempt ended without a whole answer. */
enum class AttemptEnd : std::uint8_t {
    /** No byte of the request left this node. */
    Unsent,
    /** The target said that it did not start the request. */
    RefusedUnstarted,
    /** Closed, cut off midway, or silent for its bound. */
    Lost,
};

/** One send of a request. */
struct Attempt
{
    RequestId request {};
    TargetIndex target {};
    ConnectionIndex connection = 0;
    Instant sentAt {};
    /** When the target last sent something, or the request was sent. */
    Instant progressAt {};
    bool bytesLeft = false;
    bool hasHead = false;
};

/** The state of one caller's request. */
struct RequestRun
{
    Request request;
    std::vector<AttemptId> open;
    bool queued = false;
    Instant queuedAt {};
    bool hedged = false;
    /** Whether an ended attempt may have run on its target. */
    bool mayHaveRun = false;
    /** Whether a part of an answer went to the caller. */
    bool forwarded = false;
    /** Where the last attempt failed. */
    std::optional<TargetIndex> avoid;

    /** Notes how an attempt ended. */
    void noteEnd(AttemptId id, const Attempt &attempt, AttemptEnd end)
    {
        std::erase(this->open, id);
        this->avoid = attempt.target;
        this->mayHaveRun |= end == AttemptEnd::Lost && attempt.bytesLeft;
    }

    /** Returns whether sending once more does no harm and can still be in time. */
    bool mayRetry(Instant now) const
    {
        const bool harmless = this->request.idempotent || !this->mayHaveRun;
        return harmless && !this->forwarded && this->request.deadline > now;
    }

    /** Returns what the caller learns if no whole answer comes. */
    Outcome outcomeWithoutAnswer() const
    {
        if (this->forwarded) {
            return Outcome::Truncated;
        }
        return this->mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
    }
};

} // namespace bulrush::routing
