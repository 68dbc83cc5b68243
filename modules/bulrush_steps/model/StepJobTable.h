#pragma once

#include "bulrush_core/log/LogTypes.h"
#include "bulrush_steps/model/EarlyCancellations.h"
#include "bulrush_steps/model/JobRecords.h"
#include "bulrush_steps/model/OccurrenceTable.h"
#include "bulrush_steps/model/StepJob.h"
#include "bulrush_steps/ports/KeyedLog.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace bulrush {

/** A job and its state. */
struct JobEntry
{
    StepJob spec;
    OccurrenceTable occurrences;
    /** Whether a previous owner may have started tasks of the job. False only when the first record
        of the job follows the owner record of the present owner. The newest record of the job does
        not show this, because it may repeat an earlier one. */
    bool knownToPreviousOwners = false;
    /** The time of acceptance on this process's clock. */
    Instant acceptedAt {};
    /** Since when those of its tasks count as waiting of which StepTask does not say it. */
    Instant waitsSince {};
    bool cancelled = false;
    bool succeeded = false;
    bool failed = false;
    /** Whether the end of the job, as given by succeeded or failed, is stored in the log. */
    bool endStored = false;
    /** Whether this owner has seen the job past its late limit before its end was stored.
        @see QueueService */
    bool overdue = false;
    /** Whether a worker has begun any task. */
    bool started = false;
    /** The number of runs that this owner started. */
    std::uint32_t startedRuns = 0;

    bool hasEnded() const { return this->cancelled || this->succeeded || this->failed; }

    /** Returns whether the job waits in a queue: it has neither started nor ended and has no
        schedule. */
    bool isQueuedIn(std::string_view queue) const
    {
        return this->spec.queue == queue && !this->started && !this->hasEnded()
                && !this->spec.timed;
    }

    /** Returns the state to show to callers: success or failure only once it is stored. */
    JobState visibleState() const;

    /** Returns the state of a task. The reference is valid until the task's state changes. */
    const StepTask &task(const TaskRef &ref) const;

    /** Returns the state of a task to change. The reference is valid until releaseTask(). */
    StepTask &changeTask(const TaskRef &ref);

    /** Returns since when those tasks of a step count as waiting that this owner has not started:
       not before its occurrence was due and the steps before it ended. */
    Instant waitingSince(std::uint32_t occurrence, std::uint32_t step, const Clock &clock) const;

    /** Returns how long a task has waited that this owner has started before. */
    Duration waitOf(const StepTask &task, Instant now) const
    {
        return now - task.waitsSince.value_or(this->waitsSince);
    }

    /** Sets the waits of long-running tasks by their records, to the age of the job at most. A time
        that has not come yet is ignored: the clock has stepped. */
    void readRecordedWaits(const Clock &clock);

    /** Drops the state of a task that has succeeded and has no run. */
    void releaseTask(const TaskRef &ref) { this->occurrences.release(ref); }

    /** Drops what is not needed any more of a job that was cancelled or whose end is stored. */
    void releaseEnded();

    const StepSpec &step(const TaskRef &ref) const { return this->spec.steps.at(ref.step); }

    /** Returns whether a reference identifies a task of this job. */
    bool hasTask(const TaskRef &ref) const;

    /** Returns the time since a job was accepted, or, for a job with a schedule, since an
        occurrence was due; negative before that. */
    Duration ageOf(std::uint32_t occurrence, const Clock &clock) const;

    /** Returns whether an occurrence may start by its schedule, if it has one. */
    bool isDue(std::uint32_t occurrence, const Clock &clock) const
    {
        return !this->spec.timed || this->ageOf(occurrence, clock) >= Duration::zero();
    }

    /** Returns whether all steps that a step depends on have succeeded. */
    bool dependenciesMet(std::uint32_t occurrence, std::uint32_t step) const;

    /** Records that the first attempt of a task was started. */
    void recordFirstStart(const TaskRef &ref, Instant now);

    /** Records the end of a task's step, if all tasks of the step have succeeded. */
    void recordStepEnd(const TaskRef &ref, Instant now);

    /** Returns how long the job's steps waited for their first starts, added up over the steps of
        the occurrence that waited longest. */
    Duration startWait() const;

private:
    void readRecordedWait(StepTask &task, const Clock &clock) const;
};

/** The state of all jobs in the log. Applying records is idempotent. */
class StepJobTable
{
public:
    /** Applies a record of the stream of jobs.
        @returns the job that changed, if any
        @throws Error when the record is malformed */
    std::optional<JobId> applyJobRecord(const KeyedRecord &record, const Clock &clock);

    /** Applies a record of the progress stream. @throws Error when the record is malformed */
    void applyProgress(const KeyedRecord &record);

    JobEntry *find(const JobId &job);
    const JobEntry *find(const JobId &job) const;

    std::unordered_map<JobId, JobEntry> &entries() { return this->jobs; }
    const std::unordered_map<JobId, JobEntry> &entries() const { return this->jobs; }

    /** Returns an estimate of the memory that a job takes before its tasks start, in bytes. */
    static std::size_t memoryOf(const StepJob &job);

    /** Returns the memory that the jobs take that have not ended, by memoryOf(). */
    std::size_t memoryOfOpenJobs() const;

    /** Returns the cancellations whose jobs are not on record. */
    const EarlyCancellations &earlyCancellations() const { return this->cancellations; }

    /** Returns the newest roster. */
    const Roster &roster() const { return this->newestRoster; }

    /** Returns the highest fencing token that an owner has recorded. */
    std::uint64_t newestOwnerToken() const { return this->ownerToken; }

    /** Forgets all owners and resignations, before their records are read anew. */
    void forgetOwners();

    /** Returns the owners on record, by fencing token. */
    const std::map<std::uint64_t, OwnerRecord> &owners() const { return this->knownOwners; }

    /** Returns the resignations of owners, by fencing token. */
    const std::map<std::uint64_t, Resignation> &resignations() const
    {
        return this->ownerResignations;
    }

    /** Counts the success of a task. @returns false when the task is long-running, or was counted
        before */
    static bool countSuccess(JobEntry &job, const TaskRef &ref);

    /** Counts a failed attempt. @returns false when the task is long-running, or the attempt was
        counted before */
    static bool countFailure(JobEntry &job, const AttemptRef &attempt);

    /** Returns a part of the progress of a job that is to be recorded. The first part of a job that
        has ended holds no tasks. */
    static JobProgress progressOf(const JobEntry &job, const ProgressPart &part);

    void clear() { *this = StepJobTable(); }

private:
    JobEntry &addJob(StepJob job);
    void applyPendingProgress(const JobId &job);
    static void applyTask(JobEntry &job, const TaskProgress &progress);
    std::optional<JobId> applyCancellation(const JobId &id, const KeyedRecord &record,
                                           const Clock &clock);
    void applyOwnerRecord(const KeyedRecord &record, std::uint64_t fencingToken);

    std::unordered_map<JobId, JobEntry> jobs;
    /** Progress records that were read before the record of their job. */
    std::map<ProgressPart, std::string> pendingProgress;
    EarlyCancellations cancellations;
    Roster newestRoster;
    std::uint64_t ownerToken = 0;
    std::map<std::uint64_t, OwnerRecord> knownOwners;
    std::map<std::uint64_t, Resignation> ownerResignations;
};

} // namespace bulrush
