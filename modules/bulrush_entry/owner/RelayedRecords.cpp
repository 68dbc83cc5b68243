#include "bulrush_entry/owner/RelayedRecords.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace bulrush {

namespace {

/** Bounds the memory of records that other nodes have handed over. */
constexpr std::size_t maxRelayedBytes = 8U << 20U;

constexpr milliseconds announcementInterval { 500 };

wire::RelayOutcome outcomeOf(AppendResult result)
{
    switch (result) {
    case AppendResult::Recorded:
        return wire::RelayOutcome::Recorded;
    case AppendResult::NotDone:
        return wire::RelayOutcome::NotDone;
    case AppendResult::NotInTime:
        return wire::RelayOutcome::NotInTime;
    case AppendResult::Rejected:
        return wire::RelayOutcome::Rejected;
    case AppendResult::Unknown:
        break;
    }
    return wire::RelayOutcome::Unknown;
}

/** Returns whether a key is one of a caller's record. Records of ownership are never relayed. */
bool isCallersKey(std::string_view key)
{
    return key.starts_with("job/") || key.starts_with("cancelled/");
}

} // namespace

RelayedRecords::RelayedRecords(const Clock &systemClock, FrameLinks &frameLinks)
    : clock(systemClock)
    , links(frameLinks)
    , queue(maxRelayedBytes)
{
}

void RelayedRecords::linkClosed(LinkId link)
{
    this->linked.erase(link);
    this->queue.linkClosed(link);
}

void RelayedRecords::arrived(LinkId from, const wire::RelayedRecord &message, bool isOwner)
{
    const RelayQueue::Origin origin { from, message.number() };
    HandedRecord handed;
    handed.record.key = message.key() == nullptr ? "" : message.key()->str();
    handed.record.value = message.value() == nullptr ? "" : message.value()->str();
    handed.refusable = message.refusable();
    handed.timeLeft = milliseconds(message.time_left_ms());
    if (!isOwner || !this->sink) {
        this->answer(origin, wire::RelayOutcome::NotOwner);
        return;
    }
    if (!isCallersKey(handed.record.key)) {
        this->answer(origin, wire::RelayOutcome::Rejected);
        return;
    }
    if (this->queue.contains(origin)) {
        return;
    }
    const auto id = this->queue.add(origin, handed.record.size());
    if (!id) {
        this->answer(origin, wire::RelayOutcome::NotDone);
        return;
    }
    this->answer(origin, wire::RelayOutcome::Taken);
    this->sink(std::move(handed), [this, number = *id](const HandedResult &result) {
        if (const auto sender = this->queue.complete(number)) {
            this->answer(*sender, outcomeOf(result.result), result);
        }
    });
}

void RelayedRecords::answer(const RelayQueue::Origin &origin, wire::RelayOutcome outcome,
                            const HandedResult &result)
{
    wire::RelayAnswerT message;
    message.number = origin.number;
    message.outcome = outcome;
    message.offset = result.offset;
    message.retry_after_ms =
            static_cast<std::uint32_t>(std::chrono::ceil<milliseconds>(result.retryAfter).count());
    this->links.send(origin.link, wire::encodeOwnerFrame(message));
}

void RelayedRecords::announceSlowStore()
{
    const Instant now = this->clock.now();
    if (now < this->nextAnnouncement) {
        return;
    }
    this->nextAnnouncement = now + announcementInterval;
    for (const LinkId link : this->linked) {
        this->answer({ link, 0 }, wire::RelayOutcome::StoreSlow);
    }
}

} // namespace bulrush
