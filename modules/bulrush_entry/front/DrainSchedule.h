#pragma once

#include "bulrush_core/time/Clock.h"

#include <cstddef>
#include <cstdint>

namespace bulrush {

/** What a node that was told to stop does with callers' requests. */
enum class DrainStep : std::uint8_t {
    /** Serves requests. */
    Serve,
    /** Refuses new requests, and goes on serving open ones. */
    RefuseNew,
    /** Answers all open requests without waiting any longer, and refuses new ones. */
    AnswerOpen,
    /** Ends the process. */
    Stop,
};

/** The requests of callers on a node. */
struct CallerActivity
{
    /** Number of requests whose answer has not been sent completely. */
    std::size_t openRequests = 0;
    Instant lastRequestAt {};
};

/** Decides what a node that was told to stop does with callers' requests, so that each is answered
    before the process ends. */
class DrainSchedule
{
public:
    /** @param gracePeriod time after which the process is killed
        @param startedAt   when the node was told to stop */
    DrainSchedule(Duration gracePeriod, Instant startedAt);

    /** Returns what the node does now. */
    DrainStep stepAt(Instant now, const CallerActivity &activity) const;

    /** Returns when the process ends at the latest, even if a request is open that came last. */
    Instant latestEnd() const;

private:
    Instant startedAt;
    /** When the process ends once all answers have been sent. */
    Instant stopAt;
};

} // namespace bulrush
