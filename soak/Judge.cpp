#include "soak/Judge.h"

#include <algorithm>
#include <sstream>

namespace bulrush::soak {

TaskName::TaskName(const std::string &text)
{
    std::istringstream parts(text);
    std::string part;
    std::getline(parts, this->job, '.');
    std::getline(parts, part, '.');
    std::getline(parts, part, '.');
    this->step = static_cast<std::uint32_t>(std::stoul(part));
    std::getline(parts, part, '.');
    this->index = static_cast<std::uint32_t>(std::stoul(part));
}

void Judge::jobSent(const std::string &job, const std::vector<JobStep> &steps)
{
    const std::scoped_lock lock(this->mutex);
    this->jobs[job].steps = steps;
}

void Judge::jobAccepted(const std::string &job)
{
    const std::scoped_lock lock(this->mutex);
    this->jobs[job].accepted = true;
}

void Judge::jobCancelled(const std::string &job)
{
    const std::scoped_lock lock(this->mutex);
    this->jobs[job].cancelled = true;
}

bool Judge::stepDone(const std::string &job, std::uint32_t step) const
{
    const std::vector<JobStep> &steps = this->jobs.at(job).steps;
    TaskName task(job + ".0." + std::to_string(step) + ".0");
    for (; task.index < steps.at(step).tasks; ++task.index) {
        if (!this->done.contains(task)) {
            return false;
        }
    }
    return true;
}

void Judge::jobShown(const std::string &job, const std::string &state)
{
    const std::scoped_lock lock(this->mutex);
    Job &known = this->jobs[job];
    if (state == "failed") {
        this->note(job + " is shown as failed, and nothing fails here");
    }
    if (state != "completed") {
        return;
    }
    known.shownCompleted = true;
    for (std::uint32_t step = 0; step < known.steps.size(); ++step) {
        if (!this->stepDone(job, step)) {
            this->note(job + " is shown as completed before its step " + std::to_string(step));
        }
    }
}

void Judge::runStarted(const std::string &task, const std::string &worker)
{
    const std::scoped_lock lock(this->mutex);
    ++this->runs;
    const TaskName name(task);
    const auto job = this->jobs.find(name.job);
    if (job == this->jobs.end()) {
        this->note(task + " started, and nobody sent its job");
        return;
    }
    std::set<std::string> &workers = this->running[name];
    workers.insert(worker);
    if (workers.size() > 1) {
        this->note(task + " runs twice at once, now on " + worker);
    }
    if (this->acknowledged.contains(name)) {
        this->note(task + " started after its end was acknowledged");
    }
    for (const std::uint32_t earlier : job->second.steps.at(name.step).dependsOn) {
        if (!this->stepDone(name.job, earlier)) {
            this->note(task + " started before step " + std::to_string(earlier));
        }
    }
}

void Judge::runEnded(const std::string &task, const std::string &worker, bool succeeded)
{
    const std::scoped_lock lock(this->mutex);
    const TaskName name(task);
    this->running[name].erase(worker);
    if (succeeded) {
        this->done.insert(name);
    }
}

void Judge::endAcknowledged(const std::string &task)
{
    const std::scoped_lock lock(this->mutex);
    this->acknowledged.insert(TaskName(task));
}

void Judge::workerCrashed(const std::string &worker)
{
    const std::scoped_lock lock(this->mutex);
    for (auto &[task, workers] : this->running) {
        workers.erase(worker);
    }
}

std::vector<std::string> Judge::unfinished()
{
    const std::scoped_lock lock(this->mutex);
    std::vector<std::string> names;
    for (const auto &[name, job] : this->jobs) {
        if (job.accepted && !job.cancelled && !job.shownCompleted) {
            names.push_back(name);
        }
    }
    return names;
}

std::vector<std::string> Judge::broken()
{
    const std::scoped_lock lock(this->mutex);
    return this->found;
}

std::uint64_t Judge::runCount()
{
    const std::scoped_lock lock(this->mutex);
    return this->runs;
}

std::size_t Judge::acceptedCount()
{
    const std::scoped_lock lock(this->mutex);
    return static_cast<std::size_t>(
            std::count_if(this->jobs.begin(), this->jobs.end(),
                          [](const auto &job) { return job.second.accepted; }));
}

} // namespace bulrush::soak
