#pragma once

#include "bulrush_routing/requests/Request.h"

#include <array>
#include <deque>
#include <optional>
#include <random>

namespace bulrush::routing {

/** What becomes of a request for which no target has room. */
enum class Admit : std::uint8_t { Queue, Refuse };

/**
    A bounded queue for requests that find no room, interactive before bulk, and the time after
    which refused callers may come back.

    A request is queued only if it is expected to be sent within its class's longest wait and
    before its deadline; otherwise it is refused at once.
*/
class Admission
{
public:
    /** Longest wait in the queue. A refusal is answered no later than this. */
    static constexpr Duration longestWait = milliseconds(8);

    /** Most requests in the queue. */
    static constexpr std::size_t queueBound = 256;

    /** Decides about a request without room. */
    Admit decide(const Request &request, Instant now) const;

    /** Puts a request into its class's queue. */
    void push(const Request &request);

    /** Returns the next request; it may have left the queue already. */
    std::optional<RequestId> front() const;

    /** Drops what front() returned. */
    void popFront();

    /** Notes that a queued request waits no more: it was sent or given up. */
    void leave(RequestClass requestClass);

    /** Takes the youngest bulk request out to make room, if the queue is full. */
    std::optional<RequestId> displaceBulk();

    /** Returns how many waiting requests go before a new one of a class. */
    std::size_t waitingAhead(RequestClass requestClass) const;

    /** Returns how many requests wait. */
    std::size_t waiting() const;

    //==============================================================================
    /** Notes that a request ended on a target. */
    void noteCompletion(Instant now);

    /** Notes a refusal and returns when the caller may come back: the more were refused lately
        for each one served, the wider the callers are spread. */
    Duration retryAfter(Instant now, std::mt19937_64 &random);

private:
    /** An event rate with exponential forgetting. */
    struct Rate
    {
        double perSecond = 0;
        Instant at {};

        void note(Instant now);
        double value(Instant now) const;
    };

    std::array<std::deque<RequestId>, 2> queues;
    std::array<std::size_t, 2> counts {};
    Rate completions;
    Rate refusals;
};

} // namespace bulrush::routing
