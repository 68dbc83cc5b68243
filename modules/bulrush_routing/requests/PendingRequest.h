#pragma once

#include "bulrush_routing/requests/Action.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace bulrush::routing {

/** How an attempt ended without a complete answer. */
enum class AttemptEnd : std::uint8_t {
    /** No byte of the request was sent. */
    Unsent,
    /** The target reported that it did not start the request. */
    RefusedBeforeStart,
    /** The connection was closed, the answer was cut off, or the inactivity timeout expired. */
    Lost,
};

/** One attempt to send a request to a target. */
struct Attempt
{
    RequestId request {};
    TargetIndex target {};
    ConnectionIndex connection = 0;
    Instant sentAt {};
    /** When the target last sent data; initially the time at which the request was sent. */
    Instant lastActivityAt {};
    bool sendStarted = false;
    bool hasHead = false;
};

/** State of a caller's request that has not ended. */
struct PendingRequest
{
    Request request;
    std::vector<AttemptId> openAttempts;
    bool queued = false;
    Instant queuedAt {};
    bool hedged = false;
    /** Whether an ended attempt may have run on its target. */
    bool mayHaveRun = false;
    /** Whether a part of an answer was forwarded to the caller. */
    bool forwarded = false;
    /** Target on which the last attempt failed. */
    std::optional<TargetIndex> avoid;

    /** Records the end of an attempt. */
    void recordEnd(AttemptId id, const Attempt &attempt, AttemptEnd end)
    {
        std::erase(this->openAttempts, id);
        this->avoid = attempt.target;
        this->mayHaveRun |= end == AttemptEnd::Lost && attempt.sendStarted;
    }

    /** Returns whether another attempt is safe and the deadline has not passed. */
    bool canRetry(Instant now) const
    {
        const bool safeToRepeat = this->request.idempotent || !this->mayHaveRun;
        return safeToRepeat && !this->forwarded && this->request.deadline > now;
    }

    /** Returns the outcome to report if no complete answer is received. */
    Outcome outcomeWithoutAnswer() const
    {
        if (this->forwarded) {
            return Outcome::Truncated;
        }
        return this->mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
    }
};

} // namespace bulrush::routing
