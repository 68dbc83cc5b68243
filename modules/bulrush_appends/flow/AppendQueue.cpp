#include "bulrush_appends/flow/AppendQueue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace bulrush {

namespace {

/** Bounds the time that the store takes for one append. */
constexpr std::size_t maxRecordsPerAppend = 200;

/** Delay of the next attempt after an append without an answer. */
constexpr milliseconds retryDelay { 60 };

} // namespace

AppendQueue::AppendQueue(std::size_t maxAppendBytes, std::uint64_t seed)
    : maxBytes(maxAppendBytes)
    , backoff(seed)
{
}

void AppendQueue::add(const QueuedAppend &append)
{
    Entry entry;
    entry.append = append;
    this->entries[append.id] = entry;
}

std::vector<AppendQueue::Entry *> AppendQueue::waiting(bool sendable)
{
    std::vector<Entry *> result;
    for (auto &[id, entry] : this->entries) {
        if (!entry.inFlight && !(entry.tooLate && sendable)) {
            result.push_back(&entry);
        }
    }
    std::stable_sort(result.begin(), result.end(), [](const Entry *left, const Entry *right) {
        return std::make_tuple(!left->append.cancellation, left->append.deadline)
                < std::make_tuple(!right->append.cancellation, right->append.deadline);
    });
    return result;
}

bool AppendQueue::directInFlight() const
{
    return std::any_of(this->flights.begin(), this->flights.end(),
                       [](const auto &each) { return !each.second.handOver; });
}

std::vector<OutgoingAppend> AppendQueue::takeDue(Instant now, bool canHandOver)
{
    std::vector<OutgoingAppend> due;
    const bool slow = this->appendTimes.isSlow(now);
    const bool handsOver = slow && canHandOver;
    if (now < (handsOver ? this->handOverAt : this->retryAt)) {
        return due;
    }
    const std::vector<Entry *> candidates = this->waiting(true);
    if (!slow || handsOver) {
        for (Entry *entry : candidates) {
            due.push_back(this->send({ entry }, handsOver, now));
        }
    } else if (!candidates.empty() && !this->directInFlight()) {
        due.push_back(this->sendGroup(candidates, now));
    }
    return due;
}

bool AppendQueue::startsAppend(const Entry &entry, std::size_t records, std::size_t bytes) const
{
    return records > 0
            && (entry.alone || records >= maxRecordsPerAppend
                || bytes + entry.append.bytes > this->maxBytes);
}

OutgoingAppend AppendQueue::sendGroup(const std::vector<Entry *> &candidates, Instant now)
{
    std::vector<Entry *> carried;
    std::size_t bytes = 0;
    for (Entry *entry : candidates) {
        const bool previousAlone = !carried.empty() && carried.back()->alone;
        if (previousAlone || this->startsAppend(*entry, carried.size(), bytes)) {
            break;
        }
        // What has not been sent to a silent store can still be refused truthfully.
        if (this->unanswered && !carried.empty() && !entry->mayHaveTakenEffect) {
            continue;
        }
        carried.push_back(entry);
        bytes += entry->append.bytes;
    }
    return this->send(carried, false, now);
}

OutgoingAppend AppendQueue::send(const std::vector<Entry *> &carried, bool handOver, Instant now)
{
    OutgoingAppend outgoing;
    outgoing.number = this->nextNumber++;
    outgoing.handOver = handOver;
    Instant latest = now;
    for (Entry *entry : carried) {
        entry->inFlight = true;
        outgoing.ids.push_back(entry->append.id);
        latest = std::max(latest, entry->append.deadline);
    }
    // The owner needs all the time that is left: it answers when it cannot record in time.
    outgoing.timeout = handOver ? latest - now : this->appendTimes.timeout(now, latest - now);
    this->flights[outgoing.number] = { outgoing.ids, handOver, now };
    this->appendTimes.sent(outgoing.number, now);
    return outgoing;
}

void AppendQueue::answered(AppendTimes::Number number, AppendResult result, Instant now)
{
    const auto found = this->flights.find(number);
    if (found == this->flights.end()) {
        return;
    }
    const Flight flight = std::move(found->second);
    this->flights.erase(found);
    this->measure(number, flight, result, now);
    this->delayRetry(flight, result, now);
    for (const std::uint64_t id : flight.ids) {
        const auto entry = this->entries.find(id);
        if (entry == this->entries.end()) {
            continue;
        }
        if (result == AppendResult::Recorded) {
            this->entries.erase(entry);
        } else {
            this->finish(entry->second, result);
        }
    }
}

void AppendQueue::measure(AppendTimes::Number number, const Flight &flight, AppendResult result,
                          Instant now)
{
    // A record that was handed over and not recorded says nothing of the store.
    if (flight.handOver && result != AppendResult::Recorded) {
        this->appendTimes.ignore(number);
    } else {
        this->appendTimes.answered(number, result, now);
    }
}

void AppendQueue::delayRetry(const Flight &flight, AppendResult result, Instant now)
{
    if (flight.handOver) {
        this->handOverAt = result == AppendResult::Recorded ? now : now + retryDelay;
        return;
    }
    this->unanswered = result == AppendResult::Unknown;
    if (result == AppendResult::Recorded) {
        this->backoff.reset();
        this->retryAt = now;
    } else if (result == AppendResult::NotDone && flight.sentAt >= this->backedOffAt) {
        this->backedOffAt = now;
        this->retryAt = now + this->backoff.next();
    } else if (result == AppendResult::Unknown || flight.ids.size() == 1) {
        this->retryAt = std::max(this->retryAt, now + retryDelay);
    }
}

void AppendQueue::finish(Entry &entry, AppendResult result)
{
    entry.inFlight = false;
    entry.mayHaveTakenEffect = entry.mayHaveTakenEffect || result == AppendResult::Unknown;
    entry.alone = entry.alone || result == AppendResult::Rejected;
    entry.tooLate = entry.tooLate
            || (result == AppendResult::NotInTime && entry.append.refusable
                && !entry.mayHaveTakenEffect);
}

Instant AppendQueue::nextSend(Instant now) const
{
    Instant next = std::max(now, this->retryAt);
    for (const auto &[number, flight] : this->flights) {
        if (!flight.handOver) {
            next = std::max(next, flight.sentAt + this->appendTimes.expected(now));
        }
    }
    return next;
}

std::vector<RefusedAppend> AppendQueue::takeRefused(Instant now)
{
    std::vector<RefusedAppend> refused;
    if (!this->appendTimes.isSlow(now)) {
        return refused;
    }
    const Duration expected = this->appendTimes.expected(now);
    Instant recordedAt = this->nextSend(now) + expected;
    // While nothing is under way, one record is sent whatever is expected. Otherwise no append
    // would show that the store has become quicker.
    const bool probes = now >= this->retryAt && !this->directInFlight();
    std::size_t records = 0;
    std::size_t bytes = 0;
    for (const Entry *entry : this->waiting(false)) {
        if (this->startsAppend(*entry, records, bytes)) {
            recordedAt += expected;
            records = 0;
            bytes = 0;
        }
        const bool probe = probes && records == 0;
        const bool late = entry->tooLate || (!probe && recordedAt > entry->append.deadline);
        if (late && entry->append.refusable && !entry->mayHaveTakenEffect) {
            refused.push_back({ entry->append.id, Duration::zero() });
            continue;
        }
        ++records;
        bytes += entry->append.bytes;
    }
    for (RefusedAppend &each : refused) {
        each.retryAfter = recordedAt - now;
        this->entries.erase(each.id);
    }
    return refused;
}

bool AppendQueue::mayHaveTakenEffect(std::uint64_t id) const
{
    const auto found = this->entries.find(id);
    return found != this->entries.end()
            && (found->second.inFlight || found->second.mayHaveTakenEffect);
}

} // namespace bulrush
