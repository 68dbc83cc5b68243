#pragma once

#include "bulrush_core/log/LogTypes.h"
#include "bulrush_steps/model/JobRecords.h"
#include "bulrush_steps/model/StepJob.h"
#include "bulrush_steps/ports/KeyedLog.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace bulrush {

/** What is known of one task. */
struct StepTask
{
    bool succeeded = false;
    /** Attempts whose failure was counted. */
    std::vector<std::uint64_t> failedAttempts;
    std::uint64_t lastAttempt = 0;
    /** Workers on which attempts failed. */
    std::vector<TargetId> failedOn;
    /** How many times it was moved because its run stood still or was slow. */
    std::uint32_t rescues = 0;
    /** The newest checkpoint that a worker listed. */
    std::string checkpoint;
    /** Runs that may be alive. */
    std::uint32_t openRuns = 0;
};

struct StepState
{
    std::vector<StepTask> tasks;
    std::uint32_t succeeded = 0;
    /** Mean duration of the tasks that succeeded under this owner; 0 before the first. */
    milliseconds meanDuration { 0 };
};

struct OccurrenceState
{
    std::vector<StepState> steps;
    std::uint32_t succeededSteps = 0;
};

/** One job and all that is known of it. */
struct JobEntry
{
    StepJob spec;
    std::vector<OccurrenceState> occurrences;
    /** Whether a former owner may have started tasks of it. A job counts as unknown to them only
        when its first record follows the owner's mark: the newest record may be a repeat. */
    bool knownToFormerOwners = false;
    /** When it was accepted, by this process's clock. */
    Instant acceptedAt {};
    bool cancelled = false;
    bool succeeded = false;
    bool failed = false;
    /** Whether the end that succeeded or failed says is on record. */
    bool endOnRecord = false;
    /** Whether any task was started. */
    bool begun = false;

    bool over() const { return this->cancelled || this->succeeded || this->failed; }

    /** Returns whether it counts as one of a queue's jobs that have not begun. */
    bool waitsIn(std::string_view queue) const
    {
        return this->spec.queue == queue && !this->begun && !this->over() && !this->spec.timed;
    }

    /** Returns what callers may be shown. */
    JobState shownState() const;

    StepTask &task(const TaskRef &ref);
    const StepSpec &step(const TaskRef &ref) const { return this->spec.steps.at(ref.step); }

    /** Returns whether a name is of a task that the job has. */
    bool has(const TaskRef &ref) const;

    /** Returns whether all steps that a step depends on have succeeded. */
    bool stepUnlocked(std::uint32_t occurrence, std::uint32_t step) const;
};

/** All jobs that the log tells of. Applying a record twice is applying it once. */
class StepJobBook
{
public:
    /** Applies a record of the stream of jobs. @returns the job that it changed, if any
        @throws Error when it is malformed
    */
    std::optional<JobId> applyJobRecord(const KeyedRecord &record, const Clock &clock);

    /** Applies a record of progress. @throws Error when it is malformed */
    void applyProgress(const KeyedRecord &record);

    JobEntry *find(const JobId &job);
    const JobEntry *find(const JobId &job) const;

    std::unordered_map<JobId, JobEntry> &entries() { return this->jobs; }
    const std::unordered_map<JobId, JobEntry> &entries() const { return this->jobs; }

    /** Workers that a former owner may have started tasks on. */
    const std::vector<TargetId> &roster() const { return this->rosterWorkers; }

    /** The highest fencing token that an owner has put on record. */
    std::uint64_t newestOwner() const { return this->ownerToken; }

    /** Returns the token of the last owner before a given one; 0 when its mark was not seen. */
    std::uint64_t ownerBefore(std::uint64_t token) const;

    /** The newest word of an owner that it orders nothing any more. */
    const Resignation &resignation() const { return this->newestResignation; }

    /** Counts a success; returns false when it was counted before. */
    static bool countSuccess(JobEntry &job, const TaskRef &ref);

    /** Counts a failed attempt; returns false when it was counted before. */
    static bool countFailure(JobEntry &job, const AttemptRef &attempt);

    /** Returns what is to be put on record of a job. */
    static JobProgress progressOf(const JobEntry &job);

    void clear() { *this = StepJobBook(); }

private:
    JobEntry &addJob(StepJob job);

    std::unordered_map<JobId, JobEntry> jobs;
    /** Progress and cancellations of jobs that are not known yet. */
    std::unordered_map<JobId, JobProgress> earlyProgress;
    std::unordered_set<JobId> earlyCancellations;
    std::vector<TargetId> rosterWorkers;
    std::uint64_t ownerToken = 0;
    std::set<std::uint64_t> ownersSeen;
    Resignation newestResignation;
};

} // namespace bulrush
