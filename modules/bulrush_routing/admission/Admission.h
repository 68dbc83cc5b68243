#pragma once

#include "bulrush_routing/requests/Request.h"

#include <array>
#include <deque>
#include <optional>
#include <random>

namespace bulrush::routing {

/** What to do with a request for which no target has capacity. */
enum class AdmissionDecision : std::uint8_t { Queue, Refuse };

/**
    Bounded queue for requests for which no target has capacity. Interactive requests are sent
    before bulk requests. Also computes the Retry-After of refused requests.

    A request is queued only if it is expected to be sent within maxWait and before its deadline;
    otherwise it is refused at once.
*/
class Admission
{
public:
    /** Maximum time in the queue, and thus the maximum delay before a refusal is answered. */
    static constexpr Duration maxWait = milliseconds(8);

    /** Maximum number of queued requests. */
    static constexpr std::size_t maxQueueLength = 256;

    /** Decides whether a request that no target has capacity for is queued or refused. */
    AdmissionDecision decide(const Request &request, Instant now) const;

    /** Appends a request to the queue of its class. */
    void push(const Request &request);

    /** Returns the first queued request; it may have been sent or ended in the meantime. */
    std::optional<RequestId> front() const;

    /** Removes the request that front() returned. */
    void popFront();

    /** Decrements the number of waiting requests after a queued request was sent or ended. */
    void decrementWaiting(RequestClass requestClass);

    /** Removes and returns the newest bulk request if the queue is full. */
    std::optional<RequestId> displaceBulk();

    /** Returns the number of waiting requests that would be sent before a new one of a class. */
    std::size_t waitingAhead(RequestClass requestClass) const;

    /** Returns the number of waiting requests. */
    std::size_t waiting() const;

    //==============================================================================
    /** Records that a target completed a request. */
    void recordCompletion(Instant now);

    /** Records a refusal and returns its Retry-After, which is drawn at random. The interval
        grows with the ratio of recent refusals to recent completions. */
    Duration retryAfter(Instant now, std::mt19937_64 &random);

private:
    /** Event rate with exponential decay. */
    struct Rate
    {
        double perSecond = 0;
        Instant at {};

        void record(Instant now);
        double value(Instant now) const;
    };

    std::array<std::deque<RequestId>, 2> queues;
    std::array<std::size_t, 2> counts {};
    Rate completions;
    Rate refusals;
};

} // namespace bulrush::routing
