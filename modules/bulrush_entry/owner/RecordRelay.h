#pragma once

#include "bulrush_core/addresses/Endpoint.h"
#include "bulrush_entry/front/RecordCarrier.h"
#include "bulrush_net/frames/FrameLinks.h"
#include "bulrush_wire/frames/OwnerFrames.h"

#include <map>
#include <optional>

namespace bulrush {

/**
    Hands records over to the owner at the other end of a link, and receives what became of them.

    A record counts as one that may have taken effect from the moment it is sent until the owner
    answers that it has not. A process that does not acknowledge a record is of an earlier version,
    or hangs; nothing more is handed over to it for a while.
*/
class RecordRelay
{
public:
    using LinkId = FrameLinks::LinkId;

    RecordRelay(const Clock &clock, FrameLinks &links);

    /** Called when the link to the owner is open. */
    void linkOpened(LinkId link, const Endpoint &owner);

    /** Called when the link to the owner is closed: what is open may have taken effect. */
    void linkLost();

    /** Returns whether a record can be handed over now. */
    bool takesRecords() const;

    /** @see RecordCarrier::handOver */
    void handOver(HandedRecord record, RecordCarrier::Callback callback);

    /** Handles an answer of the owner to a record. */
    void answered(const wire::RelayAnswer &answer);

    /** Ends what is overdue, and what could not be sent. */
    void tick();

private:
    struct Open
    {
        RecordCarrier::Callback callback;
        Instant acknowledgeBy {};
        Instant deadline {};
        bool acknowledged = false;
        bool sent = false;
    };

    void complete(std::uint64_t number, const HandedResult &result);

    const Clock &clock;
    FrameLinks &links;
    LinkId link = 0;
    std::optional<Endpoint> owner;
    /** The process that did not acknowledge a record, and until when it is given none. */
    std::optional<Endpoint> suspended;
    Instant suspendedUntil {};
    std::uint64_t nextNumber = 1;
    std::map<std::uint64_t, Open> open;
};

} // namespace bulrush
