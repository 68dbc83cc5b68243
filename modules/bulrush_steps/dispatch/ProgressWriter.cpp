#include "bulrush_steps/dispatch/ProgressWriter.h"

#include <algorithm>
#include <utility>

namespace bulrush {

namespace {

/** Delay for collecting changes into one append. */
constexpr milliseconds batchDelay { 40 };

/** Same as batchDelay, for changes that a caller waits for. */
constexpr milliseconds urgentBatchDelay { 10 };

constexpr milliseconds appendTimeout { 800 };
constexpr milliseconds retryDelay { 100 };

/** Keeps the size of an append well below the store's request size limit. */
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
    this->alive = std::make_shared<bool>(true);
    this->changed.clear();
    this->changedInOrder.clear();
    this->rosterChanged = false;
    this->sending.clear();
    this->inFlight = false;
    this->dueAt = Instant::max();
    this->storedUpTo = this->newest;
}

std::uint64_t ProgressWriter::markJobChanged(const JobId &job, bool urgent)
{
    const std::uint64_t number = ++this->newest;
    if (this->changed.try_emplace(job, number).second) {
        this->changedInOrder.emplace(number, job);
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
    this->sendingJobs.clear();
    while (!this->changed.empty() && this->sendingJobs.size() < maxRecordsPerAppend) {
        const JobId job = this->changedInOrder.begin()->second;
        this->changedInOrder.erase(this->changedInOrder.begin());
        this->changed.erase(job);
        ProgressRecord record = this->listener.progressRecord(job);
        this->sending.push_back({ records::jobKey(job), std::move(record.value), LogOffset { 0 } });
        this->sendingJobs.push_back({ job, record.showsEnd });
    }
    this->sendingRoster = this->rosterChanged;
    if (this->rosterChanged) {
        this->sending.push_back(
                { records::rosterKey(), this->listener.rosterRecord(), LogOffset { 0 } });
    }
    this->rosterChanged = false;
    const bool partial = !this->changed.empty();
    // All changes before the first one of a job that is left are in this append or an earlier one.
    this->sendingUpTo = partial ? this->changedInOrder.begin()->first - 1 : this->newest;
    this->dueAt = partial ? now : Instant::max();
    ++this->mark.sequence;
    this->send();
}

void ProgressWriter::send()
{
    this->inFlight = true;
    this->log.append(LogStream::Progress, this->sending, this->mark, appendTimeout,
                     [this, isAlive = this->alive](const AppendAnswer &result) {
                         if (*isAlive) {
                             this->inFlight = false;
                             this->handleAppendAnswer(result);
                         }
                     });
}

void ProgressWriter::handleAppendAnswer(const AppendAnswer &result)
{
    if (result.outcome == StoreOutcome::Fenced) {
        this->listener.writerFenced();
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
    this->sending.clear();
    this->storedUpTo = std::max(this->storedUpTo, this->sendingUpTo);
    this->listener.stored(this->sendingJobs, this->sendingRoster);
}

} // namespace bulrush
