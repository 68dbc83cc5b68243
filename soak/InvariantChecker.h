#pragma once

#include "standins/common/ProcessClock.h"

#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace bulrush::soak {

/** A step of a submitted job: the number of its tasks, and the steps that must be complete first.
 */
struct JobStep
{
    std::uint32_t tasks = 1;
    std::vector<std::uint32_t> dependsOn;
};

/** A task name as it is sent to workers: JOB.OCCURRENCE.STEP.INDEX. The occurrence is ignored. */
struct TaskName
{
    std::string job;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    explicit TaskName(const std::string &text);

    auto operator<=>(const TaskName &) const = default;
};

/**
    Records what callers submitted and what workers ran, and reports each violated guarantee. It is
    called from the threads of callers and workers, and uses nothing that the daemons report about
    themselves. Safe for concurrent use.
*/
class InvariantChecker
{
public:
    /** @param logPath file for notes and violations, with the time in ms since 1970;
        empty for none */
    explicit InvariantChecker(const std::string &logPath = "")
        : log(logPath)
    {
    }

    /** Writes to the log what may explain a violation. */
    void note(const std::string &text);

    void recordJobSubmitted(const std::string &job, const std::vector<JobStep> &steps);
    void recordJobAccepted(const std::string &job);
    void recordJobCancelled(const std::string &job);

    /** Records that the cancellation of a job was acknowledged: from then on it has to end. */
    void recordCancellationAcknowledged(const std::string &job);

    /** Reports each run of a job whose cancellation was acknowledged. To be called once everything
        has been calm for as long as such runs may last. */
    void checkCancelledJobsHaveEnded();

    /** Records a job's state as a daemon reported it to a caller. */
    void recordJobState(const std::string &job, const std::string &state);

    void recordRunStarted(const std::string &task, const std::string &worker);

    /** @param succeeded whether the run ended with the outcome "done" */
    void recordRunEnded(const std::string &task, const std::string &worker, bool succeeded);

    /** Records that the owner has acknowledged the end of a run with the outcome "done". */
    void recordEndAcknowledged(const std::string &task);

    /** Sets the data centre of a worker. */
    void setDataCentre(const std::string &worker, const std::string &dataCentre);

    /** Records that the store has confirmed the request to evacuate a data centre.
        @param boundMs how much later starts must have ended */
    void recordEvacuationConfirmed(const std::string &dataCentre, std::int64_t boundMs);

    /** Records that the request is about to be withdrawn. */
    void recordEvacuationWithdrawn(const std::string &dataCentre);

    /** Excuses starts in evacuated data centres until some time from now, since a daemon may not
        have learned of the requests. */
    void excuseStarts(std::int64_t forMs);

    /** Records that all runs on a worker were lost. */
    void recordWorkerCrash(const std::string &worker);

    /** Returns accepted jobs that were neither cancelled nor reported to a caller as completed. */
    std::vector<std::string> unfinishedJobs();

    std::vector<std::string> violations();
    std::uint64_t runCount();
    std::size_t acceptedCount();

private:
    struct Job
    {
        std::vector<JobStep> steps;
        bool accepted = false;
        bool cancelled = false;
        bool cancellationAcknowledged = false;
        bool reportedCompleted = false;
    };

    void checkEvacuation(const std::string &task, const std::string &worker);
    bool isStepComplete(const std::string &job, std::uint32_t step) const;
    void recordViolation(std::string description);
    void write(const std::string &text);

    std::mutex mutex;
    std::map<std::string, Job> jobs;
    /** Workers on which each task is running at present. */
    std::map<TaskName, std::set<std::string>> running;
    std::set<TaskName> completedTasks;
    std::set<TaskName> acknowledgedTasks;
    std::map<std::string, std::string> dataCentres;
    /** From when on each evacuated data centre must see no starts. */
    std::map<std::string, std::int64_t> noStartsFrom;
    std::int64_t excusedUntil = 0;
    std::vector<std::string> recordedViolations;
    std::uint64_t runsStarted = 0;
    const standins::ProcessClock clock;
    std::ofstream log;
};

} // namespace bulrush::soak
