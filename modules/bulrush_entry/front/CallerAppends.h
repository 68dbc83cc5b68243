#pragma once

#include "bulrush_appends/flow/AppendQueue.h"
#include "bulrush_entry/front/AppendCounts.h"
#include "bulrush_entry/front/CallerTypes.h"
#include "bulrush_entry/front/JobAdmission.h"
#include "bulrush_entry/front/RecordCarrier.h"
#include "bulrush_entry/front/StoreHealth.h"
#include "bulrush_steps/ports/KeyedLog.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush {

class DecisionLog;

/** The record of a submission or a cancellation, whose caller waits for an answer. */
struct CallerAppend
{
    JobId job;
    /** Of a submission: its queue and its size. */
    std::string queue;
    std::size_t tasks = 0;
    std::int64_t coreMillis = 0;
    std::size_t memory = 0;
    KeyedRecord record;
    /** The outcome once the record is in the log. */
    CallerOutcome success = CallerOutcome::Accepted;
    /** When the caller is answered at the latest. */
    Instant deadline {};
    std::function<void(CallerAnswer)> callback;
};

/**
    Appends callers' records to the log, and answers the callers.

    A failed append is repeated until it succeeds, its deadline passes, the store counts as lost or
    this node stops. In the last three cases, a job that may be recorded and any cancellation are
    reported as Unknown, and a job that cannot be recorded any more as Refused. While the store is
    slow, a job that cannot be recorded in time is refused at once.

    @see AppendQueue for which records go into which append
*/
class CallerAppends
{
public:
    CallerAppends(const Clock &clock, KeyedLog &log, StoreHealth &health, DecisionLog &decisions,
                  JobAdmission &admission);

    /** Sets how records are handed over to the owner. Without it, none are. */
    void handOverTo(RecordCarrier &recordCarrier) { this->carrier = &recordCarrier; }

    /** Appends a record. Its callback is called once, possibly before this function returns. */
    void add(CallerAppend append);

    /** Appends a record that another node handed over. Its callback is called once, possibly before
        this function returns. */
    void addRelayed(HandedRecord record, RecordCarrier::Callback reply);

    /** Repeats appends that have not succeeded, until their deadlines have passed. */
    void tick();

    /** Answers all callers with what is known of their records. */
    void abandonAll(std::string_view reason, milliseconds retryAfter);

    /** Records a sign other than an append of this node that the store is slow. */
    void noteSlowStore() { this->queue.noteSlow(this->clock.now()); }

    bool storeIsSlow() const { return this->queue.isSlow(this->clock.now()); }

    const AppendCounts &counts() const { return this->appendCounts; }

private:
    using Id = std::uint64_t;

    struct Pending
    {
        CallerAppend append;
        /** Set for a record that another node handed over. */
        RecordCarrier::Callback reply;
    };

    void add(Pending pending, bool refusable);

    /** Refuses what cannot be recorded in time, and sends what is due. */
    void pump();
    void send(const OutgoingAppend &outgoing);
    void sendToStore(const OutgoingAppend &outgoing);
    void handOver(const OutgoingAppend &outgoing);
    void ended(const OutgoingAppend &outgoing, const HandedResult &result);
    /** Returns whether a record goes back to the node that handed it over, since the store has
        refused it here. That node may reach the store all the same. */
    bool isReturned(Id id, AppendResult result) const;
    void reportUnacknowledged(Id id);
    void reportSpeed();

    /** Answers those whose records were never sent. */
    void abandonUnsent();
    void recorded(Id id, LogOffset offset);
    void reject(Id id);
    void abandon(Id id, std::string_view reason, milliseconds retryAfter);

    /** Removes a record and returns it. */
    Pending take(Id id);

    const Clock &clock;
    KeyedLog &log;
    StoreHealth &health;
    DecisionLog &decisions;
    JobAdmission &admission;
    RecordCarrier *carrier = nullptr;
    AppendQueue queue;
    std::map<Id, Pending> pendingAppends;
    Id nextId = 1;
    AppendCounts appendCounts;
    bool reportedSlow = false;
};

} // namespace bulrush
