#pragma once

#include "bulrush_appends/flow/AppendTimes.h"
#include "bulrush_appends/flow/RetryBackoff.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace bulrush {

/** A record of a caller of this node or of one that handed it over. */
struct QueuedAppend
{
    std::uint64_t id = 0;
    std::size_t bytes = 0;
    /** Cancellations are sent before other records. */
    bool cancellation = false;
    /** Whether it may be refused before its deadline if it cannot be recorded in time. */
    bool refusable = true;
    /** When its caller is answered at the latest. */
    Instant deadline {};
};

/** An append that is to be sent now. */
struct OutgoingAppend
{
    AppendTimes::Number number = 0;
    std::vector<std::uint64_t> ids;
    /** Whether it is handed over to the owner instead of being sent to the store. */
    bool handOver = false;
    Duration timeout {};
};

/** A record that cannot be recorded in time and was never sent. */
struct RefusedAppend
{
    std::uint64_t id = 0;
    /** Time after which the queue is expected to be short. */
    Duration retryAfter {};
};

/**
    Decides which records are sent in which append, and when.

    While the store is quick, each record is sent at once in an append of its own. While it is slow,
    each record is handed over to the owner, or, if the owner takes none, one append at a time
    carries all records that have arrived meanwhile: cancellations first, then by deadline.
*/
class AppendQueue
{
public:
    /** @param maxBytes the store's limit of one append
        @param seed for the jitter of retries */
    AppendQueue(std::size_t maxBytes, std::uint64_t seed);

    void add(const QueuedAppend &append);

    /** Removes a record whose caller was answered. An append that carries it goes on. */
    void remove(std::uint64_t id) { this->entries.erase(id); }

    /** Returns the appends to send now. Each ends with a call of answered().
        @param canHandOver whether the owner takes records of this node */
    std::vector<OutgoingAppend> takeDue(Instant now, bool canHandOver);

    /** Records how an append ended. Its records are removed if it was recorded, otherwise they are
        sent again in time. */
    void answered(AppendTimes::Number number, AppendResult result, Instant now);

    /** Returns the records that cannot be recorded in time and have had no effect, and removes
        them. */
    std::vector<RefusedAppend> takeRefused(Instant now);

    /** Records a sign other than an append of this node that the store is slow. */
    void noteSlow(Instant now) { this->appendTimes.noteSlow(now); }

    /** Returns whether an append of a record is under way or may have taken effect. */
    bool mayHaveTakenEffect(std::uint64_t id) const;

    /** Returns how long an append is expected to take. */
    Duration expected(Instant now) const { return this->appendTimes.expected(now); }

    bool isSlow(Instant now) const { return this->appendTimes.isSlow(now); }

private:
    struct Entry
    {
        QueuedAppend append;
        bool inFlight = false;
        bool mayHaveTakenEffect = false;
        /** Whether it is sent alone, since the store rejected an append that held it. */
        bool alone = false;
        /** Whether the owner cannot record it in time. */
        bool tooLate = false;
    };

    struct Flight
    {
        std::vector<std::uint64_t> ids;
        bool handOver = false;
        Instant sentAt {};
    };

    /** Returns the entries that are not in flight, in the order in which they are sent.
        @param sendable without those that the owner cannot record in time */
    std::vector<Entry *> waiting(bool sendable);
    OutgoingAppend send(const std::vector<Entry *> &carried, bool handOver, Instant now);
    OutgoingAppend sendGroup(const std::vector<Entry *> &candidates, Instant now);
    bool directInFlight() const;
    void finish(Entry &entry, AppendResult result);
    void delayRetry(const Flight &flight, AppendResult result, Instant now);
    void measure(AppendTimes::Number number, const Flight &flight, AppendResult result,
                 Instant now);

    /** Returns whether an entry goes into another append than the ones before it. */
    bool startsAppend(const Entry &entry, std::size_t records, std::size_t bytes) const;

    /** Returns when the next append can be sent. */
    Instant nextSend(Instant now) const;

    const std::size_t maxBytes;
    AppendTimes appendTimes;
    RetryBackoff backoff;
    std::map<std::uint64_t, Entry> entries;
    std::map<AppendTimes::Number, Flight> flights;
    AppendTimes::Number nextNumber = 1;
    /** When the next append, and the next hand-over, may be sent. */
    Instant retryAt {};
    Instant handOverAt {};
    /** When the backoff last grew. Refusals of appends that were sent before do not count again. */
    Instant backedOffAt {};
    /** Whether the last append was not answered. */
    bool unanswered = false;
};

} // namespace bulrush
