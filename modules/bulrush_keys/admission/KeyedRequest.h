#pragma once

#include "bulrush_core/time/Clock.h"
#include "bulrush_keys/table/IdempotencyKey.h"

#include <cstdint>
#include <string>
#include <utility>

namespace bulrush {

/** The state of one arrival of a keyed request. */
enum class KeyedRequestState : std::uint8_t {
    /** The claim waits for the next append. */
    Queued,

    /** The claim was sent to the log and may be stored. */
    Claiming,

    /** The claim holds the key and the caller was told to send the request; entered only once. */
    Sending,

    /** Final state: the request is not sent after this. */
    Closed,
};

/**
    One arrival of a keyed request. Its claim is appended to the log; if the claim is read back as
    the first one, the request is sent, at most once.
*/
class KeyedRequest
{
public:
    KeyedRequest(IdempotencyKey key, bool isFirstTry, Instant deadline)
        : requestKey(std::move(key))
        , firstTry(isFirstTry)
        , claimDeadline(deadline)
    {
    }

    const IdempotencyKey &key() const { return this->requestKey; }
    KeyedRequestState state() const { return this->current; }

    /** Returns whether the caller stated that it had never sent this key before. */
    bool isFirstTry() const { return this->firstTry; }

    /** Returns the time by which the claim must have been read back. */
    Instant deadline() const { return this->claimDeadline; }

    /** Records that the claim is being appended. */
    void markClaiming();

    /** Starts sending. @returns true once, and only if the arrival still waits for its claim */
    bool beginSend();

    /**
        Closes an arrival that has not been sent.

        @returns whether its claim may be on the log and must therefore be released
    */
    bool close();

    /** Records that sending has ended. */
    void endSend();

private:
    IdempotencyKey requestKey;
    bool firstTry;
    Instant claimDeadline;
    KeyedRequestState current = KeyedRequestState::Queued;
};

} // namespace bulrush
