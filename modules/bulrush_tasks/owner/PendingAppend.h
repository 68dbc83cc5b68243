#pragma once

#include "bulrush_core/time/Clock.h"
#include "bulrush_tasks/owner/Actions.h"

#include <optional>
#include <string>

namespace bulrush {

/**
    The one record that is on its way to a stream.

    It is sent again, unchanged, until its reader confirms that it was read back: an answer may be
    lost after the append took effect, and a failed append may still take effect.
*/
class PendingAppend
{
public:
    /** Starts sending a record. */
    void start(const std::string &stream, const std::string &recordId, const std::string &payload);

    /** Returns the append if it is due, and counts it as sent now. */
    std::optional<AppendAction> poll(Instant now, Duration timeout);

    /** Tells that the record was read back, or does not matter any more. */
    void clear() { this->active = false; }

    bool isActive() const { return this->active; }

    /** Returns the id of the record; of the last one when none is active. */
    const std::string &recordId() const { return this->action.recordId; }

private:
    AppendAction action;
    Instant sentAt {};
    bool active = false;
    bool sent = false;
};

} // namespace bulrush
