#include "bulrush_entry/owner/RecordRelay.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace bulrush {

namespace {

/** Time within which the owner acknowledges a record, before it appends it. */
constexpr milliseconds acknowledgementTimeout { 500 };

/** How long a process that acknowledged nothing is given no more records. */
constexpr seconds silenceSuspension { 5 };

/** How long an owner that could not record a record is given no more. It may lack the store that
    other nodes reach. */
constexpr seconds returnSuspension { 1 };

/** How much earlier than needed the owner is to answer, so that its answer arrives in time. */
constexpr milliseconds answerMargin { 100 };

AppendResult resultOf(wire::RelayOutcome outcome)
{
    switch (outcome) {
    case wire::RelayOutcome::Recorded:
        return AppendResult::Recorded;
    case wire::RelayOutcome::NotDone:
    case wire::RelayOutcome::NotOwner:
        return AppendResult::NotDone;
    case wire::RelayOutcome::NotInTime:
        return AppendResult::NotInTime;
    case wire::RelayOutcome::Rejected:
        return AppendResult::Rejected;
    default:
        return AppendResult::Unknown;
    }
}

} // namespace

RecordRelay::RecordRelay(const Clock &systemClock, FrameLinks &frameLinks)
    : clock(systemClock)
    , links(frameLinks)
{
}

void RecordRelay::linkOpened(LinkId opened, const Endpoint &endpoint)
{
    this->link = opened;
    this->owner = endpoint;
}

void RecordRelay::linkLost()
{
    this->link = 0;
    this->owner.reset();
    for (auto &[number, record] : this->open) {
        // The answers to these cannot arrive any more; tick() reports them.
        record.deadline = this->clock.now();
        record.acknowledged = true;
    }
}

bool RecordRelay::takesRecords() const
{
    const bool isSuspended =
            this->suspended == this->owner && this->clock.now() < this->suspendedUntil;
    return this->link != 0 && !isSuspended;
}

void RecordRelay::handOver(HandedRecord record, RecordCarrier::Callback callback)
{
    const Instant now = this->clock.now();
    const std::uint64_t number = this->nextNumber++;
    const Duration time = std::max<Duration>(record.timeLeft - answerMargin, Duration::zero());
    wire::RelayedRecordT message;
    message.number = number;
    message.key = std::move(record.record.key);
    message.value = std::move(record.record.value);
    message.time_left_ms = static_cast<std::uint32_t>(duration_cast<milliseconds>(time).count());
    message.refusable = record.refusable;
    Open entry;
    entry.callback = std::move(callback);
    entry.acknowledgeBy = now + acknowledgementTimeout;
    entry.deadline = now + record.timeLeft;
    entry.sent = this->link != 0 && this->links.send(this->link, wire::encodeOwnerFrame(message));
    this->open.emplace(number, std::move(entry));
}

void RecordRelay::answered(const wire::RelayAnswer &answer)
{
    const auto found = this->open.find(answer.number());
    if (found == this->open.end()) {
        return;
    }
    if (answer.outcome() == wire::RelayOutcome::Taken) {
        found->second.acknowledged = true;
        return;
    }
    if (answer.outcome() == wire::RelayOutcome::NotDone) {
        this->suspended = this->owner;
        this->suspendedUntil = this->clock.now() + returnSuspension;
    }
    HandedResult result;
    result.result = resultOf(answer.outcome());
    result.offset = answer.offset();
    result.retryAfter = milliseconds(answer.retry_after_ms());
    this->complete(answer.number(), result);
}

void RecordRelay::tick()
{
    const Instant now = this->clock.now();
    std::vector<std::pair<std::uint64_t, HandedResult>> ended;
    for (const auto &[number, record] : this->open) {
        HandedResult result;
        result.result = record.sent ? AppendResult::Unknown : AppendResult::NotDone;
        result.unacknowledged = record.sent && !record.acknowledged && now >= record.acknowledgeBy;
        if (result.unacknowledged || !record.sent || now >= record.deadline) {
            ended.emplace_back(number, result);
        }
        if (result.unacknowledged) {
            this->suspended = this->owner;
            this->suspendedUntil = now + silenceSuspension;
        }
    }
    for (const auto &[number, result] : ended) {
        this->complete(number, result);
    }
}

void RecordRelay::complete(std::uint64_t number, const HandedResult &result)
{
    const auto found = this->open.find(number);
    if (found == this->open.end()) {
        return;
    }
    const RecordCarrier::Callback callback = std::move(found->second.callback);
    this->open.erase(found);
    callback(result);
}

} // namespace bulrush
