// The part of Dispatcher that puts the progress of jobs on record, and shows their ends once they
// are stored.

#include "bulrush_steps/dispatch/Dispatcher.h"

#include "bulrush_core/events/DecisionLog.h"
#include "bulrush_steps/model/TaskText.h"

namespace bulrush {

ProgressRecord Dispatcher::progressRecord(const ProgressPart &part)
{
    const JobEntry *job = this->jobTable.find(part.job);
    if (job == nullptr || (job->endStored && !part.isFirst())) {
        return {};
    }
    const JobProgress progress = StepJobTable::progressOf(*job, part);
    return { records::encode(progress), progress.succeeded || progress.failed };
}

void Dispatcher::recordTooLong(const ProgressPart &part, std::size_t bytes)
{
    this->decisions.write(DecisionLine(Event::ProgressTooLong)
                                  .with("job", part.job.name())
                                  .with("part", part.number)
                                  .with("bytes", bytes));
    JobEntry *job = this->jobTable.find(part.job);
    if (job != nullptr && !job->hasEnded()) {
        job->failed = true;
        this->stopRuns(*job, "the progress of the job does not fit into a record");
    }
}

void Dispatcher::appendRejected(std::size_t records, std::size_t bytes)
{
    this->decisions.write(
            DecisionLine(Event::AppendRejected).with("records", records).with("bytes", bytes));
}

void Dispatcher::stored(const std::vector<WrittenProgress> &parts, bool withRoster)
{
    for (const WrittenProgress &written : parts) {
        JobEntry *job = this->jobTable.find(written.part.job);
        if (job != nullptr && written.showsEnd && !job->endStored) {
            this->endStored(*job);
        }
    }
    if (withRoster) {
        this->roster.sentRecordStored(this->workerManager.workers());
    }
    this->sendAssignedStarts();
}

void Dispatcher::endStored(JobEntry &job)
{
    job.endStored = true;
    const Duration age = this->clock.now() - job.acceptedAt;
    this->listener.jobEnded(job.visibleState(), age);
    this->recordServiceOfEnded(job);
    this->decisions.write(
            DecisionLine(Event::JobEnded)
                    .with("job", job.spec.id.name())
                    .with("queue", job.spec.queue)
                    .with("state", text(job.visibleState()))
                    .with("tasks", job.spec.taskCount())
                    .with("runs", job.startedRuns)
                    .with("objective_ms", this->durations.objective(job.spec).count())
                    .with("start_wait_ms", duration_cast<milliseconds>(job.startWait()).count())
                    .with("age_ms", duration_cast<milliseconds>(age).count()));
    job.releaseEnded();
    this->removeLaterProgress(job);
}

void Dispatcher::removeLaterProgress(const JobEntry &job)
{
    const std::uint32_t parts = progressPartCount(job.spec);
    for (std::uint32_t number = 1; number < parts; ++number) {
        this->writer.markChanged({ job.spec.id, number }, false);
    }
}

void Dispatcher::writerFenced()
{
    this->listener.superseded("the store has a newer owner's epoch");
}

void Dispatcher::markEndChanged(const JobEntry &job)
{
    this->writer.markChanged({ job.spec.id, 0 }, true);
}

std::uint64_t Dispatcher::markTaskChanged(const JobEntry &job, const TaskRef &task)
{
    const std::uint64_t change = this->writer.markChanged(progressPartOf(job.spec, task), false);
    if (!job.succeeded && !job.failed) {
        return change;
    }
    this->markEndChanged(job);
    return this->writer.newestChange();
}

} // namespace bulrush
