#pragma once

#include "bulrush_entry/front/CallerTypes.h"
#include "bulrush_entry/front/JobAdmission.h"
#include "bulrush_entry/front/StoreHealth.h"
#include "bulrush_steps/ports/KeyedLog.h"

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>

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
    reported as Unknown, and a job that cannot be recorded any more as Refused.
*/
class CallerAppends
{
public:
    CallerAppends(const Clock &clock, KeyedLog &log, StoreHealth &health, DecisionLog &decisions,
                  JobAdmission &admission);

    /** Appends a record. Its callback is called once, never before this function returns. */
    void add(CallerAppend append);

    /** Repeats appends that have not succeeded, until their deadlines have passed. */
    void tick();

    /** Answers all callers with what is known of their records. */
    void abandonAll(std::string_view reason, milliseconds retryAfter);

private:
    struct Pending
    {
        CallerAppend append;
        Instant retryAt {};
        bool inFlight = false;
        /** Whether an earlier attempt may have taken effect. */
        bool mayHaveTakenEffect = false;
        bool isAnswered = false;
    };

    using PendingPointer = std::shared_ptr<Pending>;

    void send(const PendingPointer &pending);
    void handleAnswer(const PendingPointer &pending, const AppendAnswer &result);
    void recorded(const PendingPointer &pending, LogOffset offset);
    void abandon(const PendingPointer &pending, std::string_view reason, milliseconds retryAfter);
    void answer(const PendingPointer &pending, const CallerAnswer &answer);

    const Clock &clock;
    KeyedLog &log;
    StoreHealth &health;
    DecisionLog &decisions;
    JobAdmission &admission;
    std::list<PendingPointer> pendingAppends;
};

} // namespace bulrush
