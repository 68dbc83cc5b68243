#pragma once

#include "bulrush_core/time/Clock.h"
#include "bulrush_tasks/owner/Actions.h"

#include <optional>
#include <string>

namespace bulrush {

/**
    One record whose append to a stream is not confirmed yet.

    It is sent again, unchanged, until clear() is called because the record was read back: an answer
    may be lost after the append took effect, and a failed append may still take effect.
*/
class PendingAppend
{
public:
    /** Starts sending a record. */
    void start(const std::string &stream, const std::string &recordId, const std::string &payload);

    /** Returns the append if it is due, and marks it as sent now.
        @param timeout the time after which an append is sent again */
    std::optional<AppendAction> poll(Instant now, Duration timeout);

    /** Stops sending the record. Called when it was read back or is no longer needed. */
    void clear() { this->active = false; }

    bool isActive() const { return this->active; }

    /** Returns the id of the active record, or of the last one if none is active. */
    const std::string &recordId() const { return this->action.recordId; }

private:
    AppendAction action;
    Instant sentAt {};
    bool active = false;
    bool sent = false;
};

} // namespace bulrush
