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
        virtual void formerOwnerEnded(std::uint64_t fencingToken) = 0;
    };

    FormerOwnerInquiry(const Clock &clock, FrameLinks &links, MemberName ownName,
                       Listener &listener);

    /** Asks those that are due. Call it regularly.
        @param owners   the former owners that are waited for; others are no longer asked
        @param askToken the fencing token of the present owner, which is this node */
    void update(std::span<const OwnerRecord> owners, std::uint64_t askToken);

    /** Returns whether a connection belongs to this inquiry. */
    bool owns(LinkId link) const;

    void linkOpened(LinkId link);
    void linkClosed(LinkId link);
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
    std::uint64_t tokenOf(LinkId link) const;

    const Clock &clock;
    FrameLinks &links;
    const MemberName name;
    Listener &listener;
    std::uint64_t token = 0;
    /** By the former owner's fencing token. */
    std::map<std::uint64_t, Exchange> exchanges;
};

} // namespace bulrush
