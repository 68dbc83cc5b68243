#pragma once

#include "bulrush_entry/owner/MemberName.h"
#include "bulrush_net/frames/FrameLinks.h"
#include "bulrush_steps/model/JobRecords.h"
#include "bulrush_wire/frames/OwnerFrames.h"

#include <map>
#include <span>
#include <string>

namespace bulrush {

class Clock;

/**
    Asks the processes of former owners whether they still send commands.

    Only an answer counts. A refused connection does not, since a cut may refuse connections to a
    process that still runs.
*/
class FormerOwnerInquiry
{
public:
    using LinkId = FrameLinks::LinkId;

    /** Receives what the inquiry finds. */
    struct Listener
    {
        virtual ~Listener() = default;

        /** Called when a former owner is known to send no more commands. */
        virtual void formerOwnerStopped(std::uint64_t fencingToken) = 0;
    };

    FormerOwnerInquiry(const Clock &clock, FrameLinks &links, MemberName ownName,
                       Listener &listener);

    /** Asks those that are due. Call it regularly.
        @param owners   the former owners that are waited for; others are no longer asked
        @param ownToken the fencing token of this node, the present owner */
    void update(std::span<const OwnerRecord> owners, std::uint64_t ownToken);

    /** Returns whether a connection belongs to this inquiry. */
    bool owns(LinkId link) const;

    /** Sends the question. The connection must belong to this inquiry. */
    void linkOpened(LinkId link);

    /** Notes that a connection closed or failed; the next attempt follows after a delay. The
        connection must belong to this inquiry. */
    void linkClosed(LinkId link);

    /** Takes an answer into account; ignored unless it answers the question of this connection. */
    void answered(LinkId link, const wire::OwnerAnswer &answer);

private:
    /** The exchange with one former owner. */
    struct Exchange
    {
        OwnerRecord owner;
        Endpoint peer;
        LinkId link = 0;
        /** When the attempt ends without an answer, or the next one begins. */
        Instant nextStepAt {};
    };

    void closeOthers(std::span<const OwnerRecord> owners);
    void advance(Exchange &exchange);
    /** Returns the token that is asked about over a connection; 0 when it does not belong to this
        inquiry. */
    std::uint64_t askedTokenOf(LinkId link) const;

    const Clock &clock;
    FrameLinks &links;
    const MemberName name;
    Listener &listener;
    std::uint64_t ownFencingToken = 0;
    /** By the former owner's fencing token. */
    std::map<std::uint64_t, Exchange> exchanges;
};

} // namespace bulrush
