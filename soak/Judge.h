#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace bulrush::soak {

/** One step of a submitted job: how many tasks, and the steps that must be done first. */
struct JobStep
{
    std::uint32_t tasks = 1;
    std::vector<std::uint32_t> dependsOn;
};

/** Names a task as workers are told it: JOB.OCCURRENCE.STEP.INDEX. */
struct TaskName
{
    std::string job;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    explicit TaskName(const std::string &text);

    auto operator<=>(const TaskName &) const = default;
};

/**
    Knows what callers sent and what workers did, and notes each broken promise. Told by callers and
    workers from their threads; it sees nothing that the daemons say of themselves.
*/
class Judge
{
public:
    void jobSent(const std::string &job, const std::vector<JobStep> &steps);
    void jobAccepted(const std::string &job);
    void jobCancelled(const std::string &job);

    /** Called when a caller was shown a job's state. */
    void jobShown(const std::string &job, const std::string &state);

    void runStarted(const std::string &task, const std::string &worker);

    /** @param succeeded whether the task ended as done */
    void runEnded(const std::string &task, const std::string &worker, bool succeeded);

    /** Called when the owner has acknowledged an end as done. */
    void endAcknowledged(const std::string &task);

    /** Called when all that ran on a worker is gone. */
    void workerCrashed(const std::string &worker);

    /** Returns accepted jobs that no caller was shown as completed or cancelled. */
    std::vector<std::string> unfinished();

    std::vector<std::string> broken();
    std::uint64_t runCount();
    std::size_t acceptedCount();

private:
    struct Job
    {
        std::vector<JobStep> steps;
        bool accepted = false;
        bool cancelled = false;
        bool shownCompleted = false;
    };

    bool stepDone(const std::string &job, std::uint32_t step) const;
    void note(std::string what) { this->found.push_back(std::move(what)); }

    std::mutex mutex;
    std::map<std::string, Job> jobs;
    /** Workers on which a task runs at this moment. */
    std::map<TaskName, std::set<std::string>> running;
    std::set<TaskName> done;
    std::set<TaskName> acknowledged;
    std::vector<std::string> found;
    std::uint64_t runs = 0;
};

} // namespace bulrush::soak
