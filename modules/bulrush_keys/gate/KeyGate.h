#pragma once

#include "bulrush_core/time/Clock.h"
#include "bulrush_keys/book/IdempotencyKey.h"

#include <cstdint>
#include <string>
#include <utility>

namespace bulrush {

/** Where an arrival stands. */
enum class GateState : std::uint8_t {
    /** Its claim waits for the next append. */
    Queued,

    /** Its claim may be on the log. */
    Asked,

    /** Its claim holds the key and its request was handed out to be sent; happens once. */
    Sending,

    /** It is over: its request is not sent any more. */
    Closed,
};

/**
    The state of one arrival of a keyed request: claim appended, read back as the winner, sent at
    most once.
*/
class KeyGate
{
public:
    KeyGate(IdempotencyKey key, bool isFirstTry, Instant deadline)
        : requestKey(std::move(key))
        , firstTry(isFirstTry)
        , claimDeadline(deadline)
    {
    }

    const IdempotencyKey &key() const { return this->requestKey; }
    GateState state() const { return this->current; }

    /** Returns whether the caller says that it never sent this key before. */
    bool isFirstTry() const { return this->firstTry; }

    /** Returns when the claim has to have been read back. */
    Instant deadline() const { return this->claimDeadline; }

    /** Notes that the claim is being appended. */
    void ask();

    /** Takes the right to send. @returns true once, and only to an arrival that still waits */
    bool takeSend();

    /**
        Closes an arrival that has not been handed out.

        @returns whether a claim may be on the log and so has to be released
    */
    bool close();

    /** Notes that a request that was handed out has ended. */
    void endSend();

private:
    IdempotencyKey requestKey;
    bool firstTry;
    Instant claimDeadline;
    GateState current = GateState::Queued;
};

} // namespace bulrush
