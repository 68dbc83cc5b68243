// The part of Dispatcher that watches whether the jobs of each queue end in time.

#include "bulrush_steps/dispatch/Dispatcher.h"

#include "bulrush_core/events/DecisionLog.h"

namespace bulrush {

namespace {

/** Interval at which all queues are judged; a late queue is logged once in it. */
constexpr seconds queueCheckInterval { 1 };

/** Returns whether the age of a job counts from its acceptance and ends with its work. */
bool isJudged(const StepJob &job)
{
    return !job.timed && !job.runsIndefinitely();
}

DecisionLine describe(Event event, const QueueReport &report)
{
    return DecisionLine(event)
            .with("queue", report.queue)
            .with("jobs", report.all.jobs)
            .with("in_time", report.all.inTimeShare())
            .with("served", report.all.servedShare())
            .with("large_tasks", report.largeSize)
            .with("large_jobs", report.large.jobs)
            .with("large_in_time", report.large.inTimeShare())
            .with("large_served", report.large.servedShare());
}

} // namespace

void Dispatcher::watchService(const JobEntry &job)
{
    if (isJudged(job.spec)) {
        this->unserved.insert(job.spec.id);
    }
}

ServedJob Dispatcher::describeService(const JobEntry &job) const
{
    return { job.spec.taskCount(), this->clock.now() - job.acceptedAt,
             this->durations.objective(job.spec) };
}

void Dispatcher::recordServiceOfEnded(const JobEntry &job)
{
    if (isJudged(job.spec) && !job.overdue) {
        this->queueService.record(job.spec.queue, this->describeService(job), this->clock.now());
    }
}

void Dispatcher::checkQueues(Instant now)
{
    if (now < this->nextQueueCheck) {
        return;
    }
    this->nextQueueCheck = now + queueCheckInterval;
    this->memoryOfOpenJobs = this->jobTable.memoryOfOpenJobs();
    std::erase_if(this->unserved,
                  [this, now](const JobId &job) { return this->recordIfOverdue(job, now); });
    this->queueReports = this->queueService.judge(now);
    for (const QueueReport &report : this->queueReports) {
        if (report.state == QueueState::Late) {
            this->decisions.write(describe(Event::QueueServedLate, report));
        } else if (report.state == QueueState::Recovered) {
            this->decisions.write(describe(Event::QueueServedAgain, report));
        }
    }
}

bool Dispatcher::recordIfOverdue(const JobId &id, Instant now)
{
    JobEntry *job = this->jobTable.find(id);
    if (job == nullptr || job->cancelled || job->endStored || job->overdue) {
        return true;
    }
    const ServedJob served = this->describeService(*job);
    if (served.isServed()) {
        return false;
    }
    job->overdue = true;
    this->queueService.record(job->spec.queue, served, now);
    return true;
}

} // namespace bulrush
