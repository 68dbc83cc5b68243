#pragma once

#include "bulrush_core/time/Clock.h"
#include "bulrush_steps/model/StepJobTable.h"
#include "bulrush_steps/ports/KeyedLog.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bulrush {

/** The record of a job's progress. */
struct ProgressRecord
{
    /** Empty when the job no longer exists. */
    std::string value;
    /** Whether the record shows that the job has succeeded or failed. */
    bool showsEnd = false;
};

/** A job whose progress is in an append, as it was when its record was made. */
struct WrittenJob
{
    JobId job;
    /** As in ProgressRecord. */
    bool showsEnd = false;
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

        /** Returns the record of a job's present progress. */
        virtual ProgressRecord progressRecord(const JobId &job) = 0;

        /** Returns the roster record, which lists the workers that may hold tasks. */
        virtual std::string rosterRecord() = 0;

        /** Called when an append is stored. What has changed since its records were made is not
            stored yet. @param jobs whose progress it contained
            @param withRoster whether it contained the roster */
        virtual void stored(const std::vector<WrittenJob> &jobs, bool withRoster) = 0;

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

    /** Schedules the progress of a job for writing. @param urgent whether callers wait for it
        @returns the number of this change */
    std::uint64_t markJobChanged(const JobId &job, bool urgent);

    /** Schedules the roster for writing. */
    void markRosterChanged();

    /** Sends or retries an append when one is due. */
    void tick();

    /** Returns the number up to which all changes are stored. */
    std::uint64_t storedChange() const { return this->storedUpTo; }

    /** Returns the number of the newest change. */
    std::uint64_t newestChange() const { return this->newest; }

private:
    void send();
    void handleAppendAnswer(const AppendAnswer &result);

    const Clock &clock;
    KeyedLog &log;
    Listener &listener;
    WriterMark mark;
    /** The jobs to be written, each with the number of the first change that is not sent yet. */
    std::map<JobId, std::uint64_t> changed;
    /** The same by number, so that the job that waits longest is written first. */
    std::map<std::uint64_t, JobId> changedInOrder;
    bool rosterChanged = false;
    std::uint64_t newest = 0;
    std::uint64_t storedUpTo = 0;
    Instant dueAt = Instant::max();

    /** The records of the append in progress. Sent again until the store confirms them. */
    std::vector<KeyedRecord> sending;
    std::vector<WrittenJob> sendingJobs;
    bool sendingRoster = false;
    std::uint64_t sendingUpTo = 0;
    bool inFlight = false;
    Instant retryAt {};
    /** Shared with the callbacks of appends; set to false by end(), so that late answers are
        ignored. */
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace bulrush
