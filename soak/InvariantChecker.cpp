#include "soak/InvariantChecker.h"

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

void InvariantChecker::note(const std::string &text)
{
    const std::scoped_lock lock(this->mutex);
    this->write(text);
}

void InvariantChecker::write(const std::string &text)
{
    this->log << this->clock.nowMs() << ' ' << text << std::endl;
}

void InvariantChecker::recordViolation(std::string description)
{
    this->write("broken: " + description);
    this->recordedViolations.push_back(std::move(description));
}

void InvariantChecker::recordJobSubmitted(const std::string &job, const std::vector<JobStep> &steps)
{
    const std::scoped_lock lock(this->mutex);
    this->jobs[job].steps = steps;
}

void InvariantChecker::recordJobAccepted(const std::string &job)
{
    const std::scoped_lock lock(this->mutex);
    this->jobs[job].accepted = true;
}

void InvariantChecker::recordJobCancelled(const std::string &job)
{
    const std::scoped_lock lock(this->mutex);
    this->jobs[job].cancelled = true;
}

void InvariantChecker::recordCancellationAcknowledged(const std::string &job)
{
    const std::scoped_lock lock(this->mutex);
    this->write("the cancellation of " + job + " is acknowledged");
    this->jobs[job].cancellationAcknowledged = true;
}

void InvariantChecker::checkCancelledJobsHaveEnded()
{
    const std::scoped_lock lock(this->mutex);
    for (const auto &[task, workers] : this->running) {
        if (workers.empty() || !this->jobs[task.job].cancellationAcknowledged) {
            continue;
        }
        this->recordViolation("a task of " + task.job + " still runs on " + *workers.begin()
                              + ", but the cancellation of the job was acknowledged");
    }
}

bool InvariantChecker::isStepComplete(const std::string &job, std::uint32_t step) const
{
    const std::vector<JobStep> &steps = this->jobs.at(job).steps;
    TaskName task(job + ".0." + std::to_string(step) + ".0");
    for (; task.index < steps.at(step).tasks; ++task.index) {
        if (!this->completedTasks.contains(task)) {
            return false;
        }
    }
    return true;
}

void InvariantChecker::recordJobState(const std::string &job, const std::string &state)
{
    const std::scoped_lock lock(this->mutex);
    Job &entry = this->jobs[job];
    if (state == "failed") {
        this->recordViolation(job + " is reported as failed, but no task fails in this run");
    }
    if (state != "completed") {
        return;
    }
    entry.reportedCompleted = true;
    for (std::uint32_t step = 0; step < entry.steps.size(); ++step) {
        if (!this->isStepComplete(job, step)) {
            this->recordViolation(job + " is reported as completed before completion of its step "
                                  + std::to_string(step));
        }
    }
}

void InvariantChecker::setDataCentre(const std::string &worker, const std::string &dataCentre)
{
    const std::scoped_lock lock(this->mutex);
    this->dataCentres[worker] = dataCentre;
}

void InvariantChecker::recordEvacuationConfirmed(const std::string &dataCentre,
                                                 std::int64_t boundMs)
{
    const std::scoped_lock lock(this->mutex);
    this->write("the evacuation of " + dataCentre + " is confirmed");
    this->noStartsFrom[dataCentre] = this->clock.nowMs() + boundMs;
}

void InvariantChecker::recordEvacuationWithdrawn(const std::string &dataCentre)
{
    const std::scoped_lock lock(this->mutex);
    this->write("the evacuation of " + dataCentre + " is withdrawn");
    this->noStartsFrom.erase(dataCentre);
}

void InvariantChecker::excuseStarts(std::int64_t forMs)
{
    const std::scoped_lock lock(this->mutex);
    this->excusedUntil = std::max(this->excusedUntil, this->clock.nowMs() + forMs);
}

void InvariantChecker::checkEvacuation(const std::string &task, const std::string &worker)
{
    const auto from = this->noStartsFrom.find(this->dataCentres[worker]);
    const std::int64_t now = this->clock.nowMs();
    if (from != this->noStartsFrom.end() && now > from->second && now > this->excusedUntil) {
        this->recordViolation(task + " started on " + worker + " "
                              + std::to_string(now - from->second)
                              + " ms too late: its data centre is being evacuated");
    }
}

void InvariantChecker::recordRunStarted(const std::string &task, const std::string &worker)
{
    const std::scoped_lock lock(this->mutex);
    this->checkEvacuation(task, worker);
    ++this->runsStarted;
    const TaskName name(task);
    const auto job = this->jobs.find(name.job);
    if (job == this->jobs.end()) {
        this->recordViolation(task + " started, but its job was never submitted");
        return;
    }
    std::set<std::string> &workers = this->running[name];
    workers.insert(worker);
    if (workers.size() > 1) {
        this->recordViolation(task + " runs on several workers at once, most recently on "
                              + worker);
    }
    if (this->acknowledgedTasks.contains(name)) {
        this->recordViolation(task + " started after its end was acknowledged");
    }
    for (const std::uint32_t dependency : job->second.steps.at(name.step).dependsOn) {
        if (!this->isStepComplete(name.job, dependency)) {
            this->recordViolation(task + " started before completion of step "
                                  + std::to_string(dependency));
        }
    }
}

void InvariantChecker::recordRunEnded(const std::string &task, const std::string &worker,
                                      bool succeeded)
{
    const std::scoped_lock lock(this->mutex);
    const TaskName name(task);
    this->running[name].erase(worker);
    if (succeeded) {
        this->completedTasks.insert(name);
    }
}

void InvariantChecker::recordEndAcknowledged(const std::string &task)
{
    const std::scoped_lock lock(this->mutex);
    this->write("the end of " + task + " is acknowledged");
    this->acknowledgedTasks.insert(TaskName(task));
}

void InvariantChecker::recordWorkerCrash(const std::string &worker)
{
    const std::scoped_lock lock(this->mutex);
    this->write(worker + " restarts");
    for (auto &[task, workers] : this->running) {
        workers.erase(worker);
    }
}

std::vector<std::string> InvariantChecker::unfinishedJobs()
{
    const std::scoped_lock lock(this->mutex);
    std::vector<std::string> names;
    for (const auto &[name, job] : this->jobs) {
        if (job.accepted && !job.cancelled && !job.reportedCompleted) {
            names.push_back(name);
        }
    }
    return names;
}

std::vector<std::string> InvariantChecker::violations()
{
    const std::scoped_lock lock(this->mutex);
    return this->recordedViolations;
}

std::uint64_t InvariantChecker::runCount()
{
    const std::scoped_lock lock(this->mutex);
    return this->runsStarted;
}

std::size_t InvariantChecker::acceptedCount()
{
    const std::scoped_lock lock(this->mutex);
    return static_cast<std::size_t>(
            std::count_if(this->jobs.begin(), this->jobs.end(),
                          [](const auto &job) { return job.second.accepted; }));
}

} // namespace bulrush::soak
