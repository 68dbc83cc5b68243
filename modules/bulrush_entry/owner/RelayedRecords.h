#pragma once

#include "bulrush_appends/flow/RelayQueue.h"
#include "bulrush_entry/front/RecordCarrier.h"
#include "bulrush_net/frames/FrameLinks.h"
#include "bulrush_wire/frames/OwnerFrames.h"

#include <functional>
#include <set>

namespace bulrush {

/** The owner's side of the hand-over of records: takes those of other nodes, passes them on to be
    appended, and answers what became of each. */
class RelayedRecords
{
public:
    using LinkId = FrameLinks::LinkId;

    /** Appends a record. Calls the callback once, possibly before it returns. */
    using Sink = std::function<void(HandedRecord, RecordCarrier::Callback)>;

    RelayedRecords(const Clock &clock, FrameLinks &links);

    /** Sets what appends the records; without it, none are taken. */
    void appendWith(Sink recordSink) { this->sink = std::move(recordSink); }

    void linkOpened(LinkId link) { this->linked.insert(link); }
    void linkClosed(LinkId link);

    /** Handles a record of another node. @param isOwner whether this node is the owner */
    void arrived(LinkId from, const wire::RelayedRecord &record, bool isOwner);

    /** Announces to all linked nodes that the store is slow, so that not each of them finds out
       with an append of its own. Does nothing when it did so just now. */
    void announceSlowStore();

private:
    void answer(const RelayQueue::Origin &origin, wire::RelayOutcome outcome,
                const HandedResult &result = {});

    const Clock &clock;
    FrameLinks &links;
    Sink sink;
    RelayQueue queue;
    std::set<LinkId> linked;
    Instant nextAnnouncement {};
};

} // namespace bulrush
