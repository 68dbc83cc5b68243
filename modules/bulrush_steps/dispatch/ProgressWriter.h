#pragma once

#include "bulrush_core/time/Clock.h"
#include "bulrush_steps/model/StepJobBook.h"
#include "bulrush_steps/ports/KeyedLog.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace bulrush {

/**
    Puts the ends of jobs on record, many in one append, one append at a time.

    Every append carries the owner's epoch, so that the store refuses those of a former owner.
*/
class ProgressWriter
{
public:
    /** Receives what came of appends. */
    struct Listener
    {
        virtual ~Listener() = default;

        /** Returns the record of a job; empty when there is none any more. */
        virtual std::string progressRecord(const JobId &job) = 0;

        /** Returns the record of the workers that may hold tasks. */
        virtual std::string rosterRecord() = 0;

        /** Called when all changes up to one are on record. */
        virtual void stored(const std::vector<JobId> &jobs, bool withRoster) = 0;

        /** Called when another owner has begun. */
        virtual void fencedOff() = 0;
    };

    ProgressWriter(const Clock &clock, KeyedLog &log, Listener &listener);

    /** Returns the mark that sets an owner's epoch. */
    static WriterMark epochMark(std::uint64_t epoch);

    /** Begins with an epoch that the store has taken from this owner. */
    void begin(std::uint64_t epoch);

    /** Ends; answers still to come are ignored. */
    void end();

    /** Notes that a job changed. @param urgent whether callers wait for it @returns its change */
    std::uint64_t noteJob(const JobId &job, bool urgent);

    /** Notes that the roster changed. */
    void noteRoster();

    /** Sends what is due. */
    void tick();

    /** Returns the newest change that is on record. */
    std::uint64_t storedChange() const { return this->storedUpTo; }

    /** Returns the newest change. */
    std::uint64_t newestChange() const { return this->newest; }

private:
    void send();
    void answered(const AppendAnswer &result);

    const Clock &clock;
    KeyedLog &log;
    Listener &listener;
    WriterMark mark;
    std::set<JobId> changed;
    bool rosterChanged = false;
    std::uint64_t newest = 0;
    std::uint64_t storedUpTo = 0;
    Instant dueAt = Instant::max();

    /** The append under way, kept as it is until the store has answered it. */
    std::vector<KeyedRecord> sending;
    std::vector<JobId> sendingJobs;
    bool sendingRoster = false;
    std::uint64_t sendingUpTo = 0;
    bool inFlight = false;
    Instant retryAt {};
    std::shared_ptr<bool> living = std::make_shared<bool>(true);
};

} // namespace bulrush
