#pragma once

#include "bulrush_appends/flow/AppendTimes.h"
#include "bulrush_core/time/Clock.h"
#include "bulrush_steps/model/StepJobTable.h"
#include "bulrush_steps/ports/KeyedLog.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace bulrush {

/** The record of a part of a job's progress. */
struct ProgressRecord
{
    /** Empty when there is none any more. */
    std::string value;
    /** Whether the record shows that the job has succeeded or failed. */
    bool showsEnd = false;
};

/** A part of a job's progress in an append, as it was when its record was made. */
struct WrittenProgress
{
    ProgressPart part;
    /** As in ProgressRecord. */
    bool showsEnd = false;
    /** The number of its first change that no earlier append contained. */
    std::uint64_t change = 0;
    /** Whether no shorter record can take the place of this one. */
    bool shortest = false;
};

/**
    Persists the progress of jobs in the log. Batches many records into one append and keeps at most
    one append in flight.

    Every append carries the owner's epoch, so that the store rejects appends of previous owners.
*/
class ProgressWriter
{
public:
    /** Provides the records to append, and receives the results of appends. */
    struct Listener
    {
        virtual ~Listener() = default;

        /** Returns the record of a part of a job's present progress. */
        virtual ProgressRecord progressRecord(const ProgressPart &part) = 0;

        /** Called when the store takes no record of a part, as it is too long. The job is to be
            given up, so that the record of its first part shows its end. */
        virtual void recordTooLong(const ProgressPart &part, std::size_t bytes) = 0;

        /** Called when the store rejects an append that is sent one record at a time from now on.
         */
        virtual void appendRejected(std::size_t /*records*/, std::size_t /*bytes*/) { }

        /** Returns the roster record, which lists the workers that may hold tasks. */
        virtual std::string rosterRecord() = 0;

        /** Called when an append is stored. What has changed since its records were made is not
            stored yet. @param parts the parts that it contained
            @param withRoster whether it contained the roster */
        virtual void stored(const std::vector<WrittenProgress> &parts, bool withRoster) = 0;

        /** Called when the store rejects an append because it has seen a newer epoch. */
        virtual void writerFenced() = 0;
    };

    ProgressWriter(const Clock &clock, KeyedLog &log, Listener &listener);

    /** Returns the writer mark that sets an owner's epoch. */
    static WriterMark epochMark(std::uint64_t epoch);

    /** Starts writing under an epoch that the store has already accepted from this owner. */
    void begin(std::uint64_t epoch);

    /** Stops writing and discards pending changes, which then count as stored. Answers that arrive
        later are ignored. */
    void end();

    /** Schedules a part of a job's progress for writing. @param urgent whether callers wait for it
        @returns the number of this change */
    std::uint64_t markChanged(const ProgressPart &part, bool urgent);

    /** Schedules the roster for writing. */
    void markRosterChanged();

    /** Sends or retries an append when one is due. */
    void tick();

    /** Returns the number up to which all changes are stored. */
    std::uint64_t storedChange() const { return this->storedUpTo; }

    /** Returns how long the append under way has taken, with its repetitions; zero if there is
     * none.
     */
    Duration appendAge() const
    {
        return this->sending.empty() ? Duration::zero() : this->clock.now() - this->collectedAt;
    }

    /** Returns the number of the newest change. */
    std::uint64_t newestChange() const { return this->newest; }

private:
    /** Takes the records of the next append, as many as the store takes. */
    void collect();

    /** Takes the record of a changed part, if it still fits. @returns whether it did */
    bool take(const ProgressPart &part, std::uint64_t change);

    /** Takes the end of a job instead of a part of it that is too long. */
    void takeEnd(const ProgressPart &tooLong, std::uint64_t change, std::size_t bytes);
    bool fits(const KeyedRecord &record) const;
    void add(KeyedRecord record);
    void send();
    void handleAppendAnswer(const AppendAnswer &result);

    /** Records how long the append has taken. */
    void measure(StoreOutcome outcome);

    /** Finds the record for which the store rejected an append, so that it holds up no other. */
    void handleRejection();

    /** Gives up a single record that the store rejects, so that it does not hold up all others. */
    void discardRejected();

    /** Schedules the records of a rejected append for writing again. */
    void requeueRejected();

    const Clock &clock;
    KeyedLog &log;
    Listener &listener;
    WriterMark mark;
    /** The parts to be written, each with the number of the first change that is not sent yet. */
    std::map<ProgressPart, std::uint64_t> changed;
    /** The same by number, so that the part that waits longest is written first. */
    std::map<std::uint64_t, ProgressPart> changedInOrder;
    /** The parts whose records the store rejected. */
    std::set<ProgressPart> rejected;
    /** Whether to send one record at a time, since the store rejected an append of several. */
    bool oneByOne = false;
    bool rosterChanged = false;
    std::uint64_t newest = 0;
    std::uint64_t storedUpTo = 0;
    Instant dueAt = Instant::max();
    /** When the records of the append under way were collected. */
    Instant collectedAt {};

    /** The records of the append in progress. Sent again until the store confirms them. */
    std::vector<KeyedRecord> sending;
    /** The size of these records in the append. */
    std::size_t sendingBytes = 0;
    std::vector<WrittenProgress> sendingParts;
    bool sendingRoster = false;
    std::uint64_t sendingUpTo = 0;
    bool inFlight = false;
    AppendTimes times;
    AppendTimes::Number lastAppend = 0;
    Instant retryAt {};
    /** Shared with the callbacks of appends; set to false by end(), so that late answers are
        ignored. */
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace bulrush
