#include "bulrush_steps/dispatch/ProgressWriter.h"

#include <algorithm>
#include <utility>

namespace bulrush {

namespace {

/** Delay for collecting changes into one append. */
constexpr milliseconds batchDelay { 40 };

/** Same as batchDelay, for changes that a caller waits for. */
constexpr milliseconds urgentBatchDelay { 10 };

constexpr milliseconds shortestTimeout { 800 };

/** The store refuses appends while more than 2 s are queued, so an append that is not answered
   after this time may be sent again. */
constexpr milliseconds longestTimeout { 3000 };
constexpr milliseconds retryDelay { 100 };

/** Bounds the time that an append takes. */
constexpr std::size_t maxRecordsPerAppend = 200;

} // namespace

ProgressWriter::ProgressWriter(const Clock &systemClock, KeyedLog &keyedLog,
                               Listener &progressListener)
    : clock(systemClock)
    , log(keyedLog)
    , listener(progressListener)
{
}

WriterMark ProgressWriter::epochMark(std::uint64_t epoch)
{
    return { "owner", epoch, 0 };
}

void ProgressWriter::begin(std::uint64_t epoch)
{
    this->end();
    this->mark = epochMark(epoch);
}

void ProgressWriter::end()
{
    *this->alive = false;
    this->times.ignore(this->lastAppend);
    this->alive = std::make_shared<bool>(true);
    this->changed.clear();
    this->changedInOrder.clear();
    this->rejected.clear();
    this->oneByOne = false;
    this->rosterChanged = false;
    this->sending.clear();
    this->inFlight = false;
    this->dueAt = Instant::max();
    this->storedUpTo = this->newest;
}

std::uint64_t ProgressWriter::markChanged(const ProgressPart &part, bool urgent)
{
    const std::uint64_t number = ++this->newest;
    if (this->changed.try_emplace(part, number).second) {
        this->changedInOrder.emplace(number, part);
    }
    const Instant due = this->clock.now() + (urgent ? urgentBatchDelay : batchDelay);
    this->dueAt = std::min(this->dueAt, due);
    return number;
}

void ProgressWriter::markRosterChanged()
{
    this->rosterChanged = true;
    this->dueAt = std::min(this->dueAt, this->clock.now() + urgentBatchDelay);
    ++this->newest;
}

void ProgressWriter::tick()
{
    const Instant now = this->clock.now();
    if (this->inFlight || now < this->retryAt) {
        return;
    }
    if (!this->sending.empty()) {
        this->send();
        return;
    }
    if (now < this->dueAt) {
        return;
    }
    this->collectedAt = now;
    this->collect();
    const bool partial = !this->changed.empty();
    // All changes before the first one of a part that is left are in this append or an earlier one.
    this->sendingUpTo = partial ? this->changedInOrder.begin()->first - 1 : this->newest;
    this->dueAt = partial ? now : Instant::max();
    ++this->mark.sequence;
    this->send();
}

void ProgressWriter::collect()
{
    this->sendingBytes = 0;
    this->sendingParts.clear();
    this->sendingRoster = this->rosterChanged;
    if (this->rosterChanged) {
        this->add({ records::rosterKey(), this->listener.rosterRecord(), LogOffset { 0 } });
    }
    this->rosterChanged = false;
    const std::size_t maxRecords = this->oneByOne ? 1 : maxRecordsPerAppend;
    while (!this->changed.empty() && this->sending.size() < maxRecords) {
        const auto [change, part] = *this->changedInOrder.begin();
        if (!this->take(part, change)) {
            return;
        }
        this->changedInOrder.erase(change);
        this->changed.erase(part);
    }
}

bool ProgressWriter::take(const ProgressPart &part, std::uint64_t change)
{
    ProgressRecord progress = this->listener.progressRecord(part);
    KeyedRecord record { records::progressKey(part), std::move(progress.value), LogOffset { 0 } };
    if (record.size() > this->log.limits().record || this->rejected.erase(part) > 0) {
        this->takeEnd(part, change, record.size());
        return true;
    }
    if (!this->fits(record)) {
        return false;
    }
    this->add(std::move(record));
    this->sendingParts.push_back({ part, progress.showsEnd, change, progress.showsEnd });
    return true;
}

void ProgressWriter::takeEnd(const ProgressPart &tooLong, std::uint64_t change, std::size_t bytes)
{
    this->listener.recordTooLong(tooLong, bytes);
    const ProgressPart first { tooLong.job, 0 };
    ProgressRecord end = this->listener.progressRecord(first);
    this->add({ records::progressKey(first), std::move(end.value), LogOffset { 0 } });
    this->sendingParts.push_back({ first, end.showsEnd, change, true });
}

bool ProgressWriter::fits(const KeyedRecord &record) const
{
    return this->sending.empty()
            || this->sendingBytes + LogLimits::sizeInAppend(record) <= this->log.limits().append;
}

void ProgressWriter::add(KeyedRecord record)
{
    this->sendingBytes += LogLimits::sizeInAppend(record);
    this->sending.push_back(std::move(record));
}

void ProgressWriter::send()
{
    this->inFlight = true;
    const Instant now = this->clock.now();
    const Duration timeout =
            std::max<Duration>(shortestTimeout, this->times.timeout(now, longestTimeout));
    this->times.sent(++this->lastAppend, now);
    this->log.append(LogStream::Progress, this->sending, this->mark, timeout,
                     [this, isAlive = this->alive](const AppendAnswer &result) {
                         if (*isAlive) {
                             this->inFlight = false;
                             this->measure(result.outcome);
                             this->handleAppendAnswer(result);
                         }
                     });
}

void ProgressWriter::measure(StoreOutcome outcome)
{
    const bool refused = outcome == StoreOutcome::Refused;
    const bool unknown = outcome == StoreOutcome::Unknown;
    const AppendResult result = refused ? AppendResult::NotDone
            : unknown                   ? AppendResult::Unknown
                                        : AppendResult::Recorded;
    this->times.answered(this->lastAppend, result, this->clock.now());
}

void ProgressWriter::handleAppendAnswer(const AppendAnswer &result)
{
    if (result.outcome == StoreOutcome::Fenced) {
        this->listener.writerFenced();
        return;
    }
    if (result.outcome == StoreOutcome::Invalid) {
        this->handleRejection();
        return;
    }
    // If this append has taken effect already but the answer was lost, the store expects the next
    // sequence number.
    const bool tookEffect = result.outcome == StoreOutcome::OutOfOrder
            && result.expectedSequence == this->mark.sequence + 1;
    if (result.outcome == StoreOutcome::OutOfOrder && !tookEffect) {
        this->mark.sequence = result.expectedSequence;
    }
    if (result.outcome != StoreOutcome::Done && !tookEffect) {
        this->retryAt = this->clock.now() + retryDelay;
        return;
    }
    this->oneByOne = false;
    this->sending.clear();
    this->storedUpTo = std::max(this->storedUpTo, this->sendingUpTo);
    this->listener.stored(this->sendingParts, this->sendingRoster);
}

void ProgressWriter::handleRejection()
{
    this->listener.appendRejected(this->sending.size(), this->sendingBytes);
    // The store has not counted the append.
    --this->mark.sequence;
    const bool single = this->sending.size() == 1;
    this->sending.clear();
    if (single && (this->sendingRoster || this->sendingParts.front().shortest)) {
        this->discardRejected();
        return;
    }
    if (single) {
        this->rejected.insert(this->sendingParts.front().part);
    }
    this->requeueRejected();
}

void ProgressWriter::discardRejected()
{
    // Nobody is told that the record is stored.
    this->storedUpTo = std::max(this->storedUpTo, this->sendingUpTo);
    this->dueAt = this->changed.empty() ? this->dueAt : this->clock.now();
}

void ProgressWriter::requeueRejected()
{
    this->oneByOne = true;
    this->rosterChanged = this->rosterChanged || this->sendingRoster;
    for (const WrittenProgress &written : this->sendingParts) {
        const auto [found, added] = this->changed.try_emplace(written.part, written.change);
        if (!added) {
            this->changedInOrder.erase(found->second);
            found->second = written.change;
        }
        this->changedInOrder.emplace(written.change, written.part);
    }
    this->dueAt = this->clock.now();
}

} // namespace bulrush
