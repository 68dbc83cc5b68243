#include "bulrush_entry/front/CallerAppends.h"

#include "bulrush_core/events/DecisionLog.h"

#include <algorithm>
#include <utility>

namespace bulrush {

namespace {

constexpr std::string_view rejectedReason = "the store rejects the record of the job";
constexpr std::string_view lateReason = "the store is too slow to record the job in time";
constexpr std::string_view lostReason = "the store does not answer";

AppendResult appendResult(StoreOutcome outcome)
{
    switch (outcome) {
    case StoreOutcome::Done:
        return AppendResult::Recorded;
    case StoreOutcome::Refused:
        return AppendResult::NotDone;
    case StoreOutcome::Invalid:
        return AppendResult::Rejected;
    default:
        return AppendResult::Unknown;
    }
}

/** Returns a seed that differs from node to node. */
std::uint64_t jitterSeed(const Clock &clock)
{
    return static_cast<std::uint64_t>(clock.now().time_since_epoch().count());
}

} // namespace

CallerAppends::CallerAppends(const Clock &systemClock, KeyedLog &keyedLog, StoreHealth &storeHealth,
                             DecisionLog &decisionLog, JobAdmission &jobAdmission)
    : clock(systemClock)
    , log(keyedLog)
    , health(storeHealth)
    , decisions(decisionLog)
    , admission(jobAdmission)
    , queue(keyedLog.limits().append, jitterSeed(systemClock))
{
}

void CallerAppends::add(CallerAppend append)
{
    const bool refusable = append.success == CallerOutcome::Accepted;
    this->add({ std::move(append), {} }, refusable);
}

void CallerAppends::addRelayed(HandedRecord record, RecordCarrier::Callback reply)
{
    if (this->health.checkLost()) {
        reply({ AppendResult::NotDone, 0, {}, false });
        return;
    }
    CallerAppend append;
    append.record = std::move(record.record);
    append.success = record.refusable ? CallerOutcome::Accepted : CallerOutcome::Cancelled;
    append.deadline = this->clock.now() + record.timeLeft;
    ++this->appendCounts.relayed;
    this->add({ std::move(append), std::move(reply) }, record.refusable);
}

void CallerAppends::add(Pending pending, bool refusable)
{
    QueuedAppend queued;
    queued.id = this->nextId++;
    queued.bytes = LogLimits::sizeInAppend(pending.append.record);
    queued.cancellation = pending.append.success != CallerOutcome::Accepted;
    queued.refusable = refusable;
    queued.deadline = pending.append.deadline;
    this->pendingAppends.emplace(queued.id, std::move(pending));
    this->queue.add(queued);
    this->pump();
}

void CallerAppends::pump()
{
    const Instant now = this->clock.now();
    for (const RefusedAppend &refused : this->queue.takeRefused(now)) {
        if (!this->pendingAppends.contains(refused.id)) {
            continue;
        }
        ++this->appendCounts.refusedLate;
        this->abandon(refused.id, lateReason, std::chrono::ceil<milliseconds>(refused.retryAfter));
    }
    const bool canHandOver = this->carrier != nullptr && !this->pendingAppends.empty()
            && this->queue.isSlow(now) && this->carrier->takesRecords();
    for (const OutgoingAppend &outgoing : this->queue.takeDue(now, canHandOver)) {
        this->send(outgoing);
    }
}

void CallerAppends::send(const OutgoingAppend &outgoing)
{
    if (outgoing.handOver) {
        this->handOver(outgoing);
    } else {
        this->sendToStore(outgoing);
    }
}

void CallerAppends::handOver(const OutgoingAppend &outgoing)
{
    const CallerAppend &append = this->pendingAppends.at(outgoing.ids.front()).append;
    HandedRecord handed;
    handed.record = append.record;
    handed.refusable = append.success == CallerOutcome::Accepted;
    handed.timeLeft = outgoing.timeout;
    ++this->appendCounts.handedOver;
    this->carrier->handOver(std::move(handed), [this, outgoing](const HandedResult &result) {
        this->ended(outgoing, result);
    });
}

void CallerAppends::sendToStore(const OutgoingAppend &outgoing)
{
    std::vector<KeyedRecord> records;
    for (const Id id : outgoing.ids) {
        records.push_back(this->pendingAppends.at(id).append.record);
    }
    ++this->appendCounts.appends;
    this->appendCounts.records += records.size();
    this->log.append(LogStream::Jobs, records, std::nullopt, outgoing.timeout,
                     [this, outgoing](const AppendAnswer &answer) {
                         HandedResult result;
                         result.result = appendResult(answer.outcome);
                         result.offset = answer.offset;
                         this->ended(outgoing, result);
                     });
}

void CallerAppends::ended(const OutgoingAppend &outgoing, const HandedResult &result)
{
    this->queue.answered(outgoing.number, result.result, this->clock.now());
    const bool single = outgoing.ids.size() == 1;
    const bool lost = result.result != AppendResult::Recorded && this->health.checkLost();
    LogOffset offset = result.offset;
    for (const Id id : outgoing.ids) {
        const LogOffset recordOffset = offset++;
        if (!this->pendingAppends.contains(id)) {
            continue;
        }
        if (result.unacknowledged) {
            this->reportUnacknowledged(id);
        }
        const bool mayHaveTakenEffect = this->queue.mayHaveTakenEffect(id);
        if (result.result == AppendResult::Recorded) {
            this->recorded(id, recordOffset);
        } else if (result.result == AppendResult::Rejected && single && !mayHaveTakenEffect) {
            this->reject(id);
        } else if (lost || this->isReturned(id, result.result)) {
            this->abandon(id, lostReason, storeRetryAfter);
        } else if (result.result == AppendResult::NotInTime && !mayHaveTakenEffect
                   && this->pendingAppends.at(id).append.success == CallerOutcome::Accepted) {
            ++this->appendCounts.refusedLate;
            this->abandon(id, lateReason, std::chrono::ceil<milliseconds>(result.retryAfter));
        }
    }
    this->pump();
}

bool CallerAppends::isReturned(Id id, AppendResult result) const
{
    return result == AppendResult::NotDone && this->pendingAppends.at(id).reply
            && !this->queue.mayHaveTakenEffect(id);
}

void CallerAppends::reportUnacknowledged(Id id)
{
    const CallerAppend &append = this->pendingAppends.at(id).append;
    this->decisions.write(
            DecisionLine(Event::HandOverUnacknowledged).with("job", append.job.name()));
}

CallerAppends::Pending CallerAppends::take(Id id)
{
    const auto found = this->pendingAppends.find(id);
    Pending pending = std::move(found->second);
    this->pendingAppends.erase(found);
    this->queue.remove(id);
    return pending;
}

void CallerAppends::reject(Id id)
{
    const Pending pending = this->take(id);
    if (pending.reply) {
        pending.reply({ AppendResult::Rejected, 0, {}, false });
        return;
    }
    this->decisions.write(DecisionLine(Event::JobRefused)
                                  .with("job", pending.append.job.name())
                                  .with("queue", pending.append.queue)
                                  .with("reason", rejectedReason));
    CallerAnswer malformed;
    malformed.outcome = CallerOutcome::Malformed;
    malformed.reason = rejectedReason;
    pending.append.callback(malformed);
}

void CallerAppends::recorded(Id id, LogOffset offset)
{
    const Pending pending = this->take(id);
    if (pending.reply) {
        pending.reply({ AppendResult::Recorded, offset, {}, false });
        return;
    }
    const CallerAppend &append = pending.append;
    const bool accepted = append.success == CallerOutcome::Accepted;
    DecisionLine line(accepted ? Event::JobAccepted : Event::JobCancelled);
    line.with("job", append.job.name()).with("offset", offset);
    if (accepted) {
        line.with("queue", append.queue)
                .with("tasks", append.tasks)
                .with("core_ms", append.coreMillis);
        this->admission.recorded(append.memory);
    } else {
        line.with("before_record", append.success == CallerOutcome::NoSuchJob);
    }
    this->decisions.write(line);
    CallerAnswer success;
    success.outcome = append.success;
    append.callback(success);
}

void CallerAppends::abandon(Id id, std::string_view reason, milliseconds retryAfter)
{
    const bool mayHaveTakenEffect = this->queue.mayHaveTakenEffect(id);
    const Pending pending = this->take(id);
    if (pending.reply) {
        const AppendResult unsent =
                reason == lateReason ? AppendResult::NotInTime : AppendResult::NotDone;
        pending.reply(
                { mayHaveTakenEffect ? AppendResult::Unknown : unsent, 0, retryAfter, false });
        return;
    }
    const bool refused = !mayHaveTakenEffect && pending.append.success == CallerOutcome::Accepted;
    CallerAnswer answer;
    answer.outcome = refused ? CallerOutcome::Refused : CallerOutcome::Unknown;
    answer.reason = reason;
    answer.retryAfter = retryAfter;
    this->appendCounts.refusedAtEnd += refused && reason != lateReason ? 1 : 0;
    this->decisions.write(DecisionLine(refused ? Event::JobRefused : Event::JobOutcomeUnknown)
                                  .with("job", pending.append.job.name())
                                  .with("reason", reason));
    pending.append.callback(answer);
}

void CallerAppends::tick()
{
    const Instant now = this->clock.now();
    std::vector<Id> overdue;
    for (const auto &[id, pending] : this->pendingAppends) {
        if (now >= pending.append.deadline) {
            overdue.push_back(id);
        }
    }
    for (const Id id : overdue) {
        if (this->pendingAppends.contains(id)) {
            this->abandon(id, "the store has not answered in time", storeRetryAfter);
        }
    }
    if (this->health.checkLost()) {
        this->abandonUnsent();
    }
    this->pump();
    this->reportSpeed();
}

void CallerAppends::abandonUnsent()
{
    std::vector<Id> unsent;
    for (const auto &[id, pending] : this->pendingAppends) {
        if (!this->queue.mayHaveTakenEffect(id)) {
            unsent.push_back(id);
        }
    }
    for (const Id id : unsent) {
        if (this->pendingAppends.contains(id)) {
            this->abandon(id, lostReason, storeRetryAfter);
        }
    }
}

void CallerAppends::reportSpeed()
{
    const bool slow = this->storeIsSlow();
    if (slow == this->reportedSlow) {
        return;
    }
    this->reportedSlow = slow;
    const auto expected =
            duration_cast<milliseconds>(this->queue.expected(this->clock.now())).count();
    this->decisions.write(DecisionLine(slow ? Event::StoreSlow : Event::StoreQuick)
                                  .with("expected_ms", expected)
                                  .with("waiting", this->pendingAppends.size()));
}

void CallerAppends::abandonAll(std::string_view reason, milliseconds retryAfter)
{
    std::vector<Id> ids;
    for (const auto &[id, pending] : this->pendingAppends) {
        ids.push_back(id);
    }
    for (const Id id : ids) {
        if (this->pendingAppends.contains(id)) {
            this->abandon(id, reason, retryAfter);
        }
    }
}

} // namespace bulrush
