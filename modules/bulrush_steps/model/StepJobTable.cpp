#include "bulrush_steps/model/StepJobTable.h"

#include "bulrush_core/errors/Error.h"
#include "bulrush_steps/model/JobLimits.h"

#include <algorithm>

namespace bulrush {

namespace {

/** Returns whether a worker has begun the task. */
bool showsRun(const TaskProgress &task)
{
    return task.succeeded || !task.failedAttempts.empty() || !task.crashedAttempts.empty()
            || !task.youngCrashes.empty();
}

/** The longest wait for former owners that a resignation may leave. */
constexpr milliseconds maxUnsettledWait { std::chrono::hours(1) };

StepJob decodeJob(const JobId &id, std::string_view value)
{
    StepJob job = records::decodeJob(value);
    if (job.id != id) {
        throw Error("check job", "job", "is not the one that the key names");
    }
    checkLimits(job);
    return job;
}

Resignation decodeResignation(std::string_view value)
{
    Resignation resignation = records::decodeResignation(value);
    for (const UnsettledOwner &former : resignation.unsettled) {
        if (former.left < milliseconds(0) || former.left > maxUnsettledWait) {
            throw Error("check resignation", "unsettled", "is out of bounds");
        }
    }
    return resignation;
}

} // namespace

JobState JobEntry::visibleState() const
{
    if (this->endStored && this->succeeded) {
        return JobState::Succeeded;
    }
    if (this->endStored && this->failed) {
        return JobState::Failed;
    }
    if (this->cancelled) {
        return JobState::Cancelled;
    }
    return this->started ? JobState::Running : JobState::Queued;
}

const StepTask &JobEntry::task(const TaskRef &ref) const
{
    return this->occurrences.at(ref.occurrence).steps.at(ref.step).tasks.at(ref.index);
}

StepTask &JobEntry::changeTask(const TaskRef &ref)
{
    return this->occurrences.change(ref.occurrence).steps.at(ref.step).tasks.change(ref.index);
}

Instant JobEntry::waitingSince(std::uint32_t occurrence, std::uint32_t step,
                               const Clock &clock) const
{
    Instant since = this->waitsSince;
    if (this->spec.timed) {
        since = std::max(since, clock.now() - this->ageOf(occurrence, clock));
    }
    const std::vector<StepState> &states = this->occurrences.at(occurrence).steps;
    for (const std::uint32_t before : this->spec.steps[step].dependsOn) {
        since = std::max(since, states[before].endedAt.value_or(since));
    }
    return since;
}

void JobEntry::readRecordedWaits(const Clock &clock)
{
    for (const auto &[number, occurrence] : this->occurrences.kept()) {
        for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            for (const auto &[index, task] : occurrence.steps[step].tasks.kept()) {
                if (task.recordedWaitsSince) {
                    const TaskRef ref { this->spec.id, number, step, index };
                    this->readRecordedWait(this->changeTask(ref), clock);
                }
            }
        }
    }
}

void JobEntry::readRecordedWait(StepTask &task, const Clock &clock) const
{
    const milliseconds wait(clock.calendarMillis() - *task.recordedWaitsSince);
    if (wait < milliseconds(0)) {
        task.recordedWaitsSince.reset();
        return;
    }
    task.waitsSince = std::max(this->acceptedAt, clock.now() - wait);
}

void JobEntry::releaseEnded()
{
    this->spec.payload = {};
    this->occurrences.releaseTasks();
}

Duration JobEntry::ageOf(std::uint32_t occurrence, const Clock &clock) const
{
    if (!this->spec.timed) {
        return clock.now() - this->acceptedAt;
    }
    const UnixMillis due = this->spec.firstDue + this->spec.interval.count() * occurrence;
    return milliseconds(clock.calendarMillis() - due);
}

bool JobEntry::hasTask(const TaskRef &ref) const
{
    return ref.occurrence < this->occurrences.size() && ref.step < this->spec.steps.size()
            && ref.index < this->spec.steps[ref.step].taskCount;
}

bool JobEntry::dependenciesMet(std::uint32_t occurrence, std::uint32_t step) const
{
    const OccurrenceState &state = this->occurrences.at(occurrence);
    const std::vector<std::uint32_t> &dependencies = this->spec.steps.at(step).dependsOn;
    return std::all_of(dependencies.begin(), dependencies.end(), [&state](std::uint32_t earlier) {
        return state.steps.at(earlier).tasks.allSucceeded();
    });
}

void JobEntry::recordFirstStart(const TaskRef &ref, Instant now)
{
    OccurrenceState &occurrence = this->occurrences.change(ref.occurrence);
    Instant readyAt = this->acceptedAt;
    for (const std::uint32_t earlier : this->step(ref).dependsOn) {
        readyAt = std::max(readyAt, occurrence.steps.at(earlier).endedAt.value_or(readyAt));
    }
    occurrence.steps.at(ref.step).startWait = now - readyAt;
}

void JobEntry::recordStepEnd(const TaskRef &ref, Instant now)
{
    StepState &step = this->occurrences.change(ref.occurrence).steps.at(ref.step);
    if (step.tasks.allSucceeded() && !step.endedAt) {
        step.endedAt = now;
    }
}

Duration JobEntry::startWait() const
{
    Duration longest {};
    for (const auto &[number, occurrence] : this->occurrences.kept()) {
        Duration wait {};
        for (const StepState &step : occurrence.steps) {
            wait += step.startWait;
        }
        longest = std::max(longest, wait);
    }
    return longest;
}

JobEntry &StepJobTable::addJob(StepJob job)
{
    JobEntry entry;
    entry.occurrences = OccurrenceTable(job);
    const JobId id = job.id;
    entry.spec = std::move(job);
    return this->jobs.emplace(id, std::move(entry)).first->second;
}

std::optional<JobId> StepJobTable::applyJobRecord(const KeyedRecord &record, const Clock &clock)
{
    const records::ParsedKey key = records::parseKey(record.key);
    if (key.kind == records::KeyKind::Owner) {
        this->applyOwnerRecord(record, key.fencingToken);
        return std::nullopt;
    }
    if (record.value.empty()) {
        if (key.kind == records::KeyKind::Resignation) {
            this->ownerResignations.erase(key.fencingToken);
        }
        return std::nullopt;
    }
    if (key.kind == records::KeyKind::Resignation) {
        Resignation resignation = decodeResignation(record.value);
        const std::uint64_t token = resignation.fencingToken;
        this->ownerResignations.insert_or_assign(token, std::move(resignation));
        return std::nullopt;
    }
    if (key.kind == records::KeyKind::Cancellation) {
        return this->applyCancellation(key.job, record, clock);
    }
    if (key.kind != records::KeyKind::Job || this->find(key.job) != nullptr) {
        return std::nullopt;
    }
    JobEntry &job = this->addJob(decodeJob(key.job, record.value));
    const UnixMillis age = clock.calendarMillis() - job.spec.acceptedAt;
    job.acceptedAt = clock.now() - milliseconds(std::max<UnixMillis>(0, age));
    job.cancelled = this->cancellations.take(key.job, job.spec.acceptedAt);
    this->applyPendingProgress(key.job);
    if (job.cancelled) {
        job.releaseEnded();
    }
    return key.job;
}

std::optional<JobId> StepJobTable::applyCancellation(const JobId &id, const KeyedRecord &record,
                                                     const Clock &clock)
{
    const Cancellation cancellation = records::decodeCancellation(record.value);
    JobEntry *job = this->find(id);
    if (job == nullptr) {
        this->cancellations.add(id, cancellation, clock.calendarMillis());
        return std::nullopt;
    }
    if (!cancellation.holdsFor(job->spec.acceptedAt)) {
        return std::nullopt;
    }
    job->cancelled = !job->endStored;
    job->releaseEnded();
    return id;
}

void StepJobTable::applyPendingProgress(const JobId &job)
{
    auto next = this->pendingProgress.lower_bound({ job, 0 });
    while (next != this->pendingProgress.end() && next->first.job == job) {
        const KeyedRecord pending { records::progressKey(next->first), std::move(next->second), 0 };
        next = this->pendingProgress.erase(next);
        this->applyProgress(pending);
    }
}

void StepJobTable::applyOwnerRecord(const KeyedRecord &record, std::uint64_t fencingToken)
{
    if (record.value.empty()) {
        this->knownOwners.erase(fencingToken);
        return;
    }
    OwnerRecord owner = records::decodeOwner(record.value);
    this->ownerToken = std::max(this->ownerToken, owner.fencingToken);
    this->knownOwners.insert_or_assign(owner.fencingToken, std::move(owner));
}

void StepJobTable::forgetOwners()
{
    this->knownOwners.clear();
    this->ownerResignations.clear();
}

void StepJobTable::applyProgress(const KeyedRecord &record)
{
    const records::ParsedKey key = records::parseKey(record.key);
    if (record.value.empty()) {
        return;
    }
    if (key.kind == records::KeyKind::Roster) {
        this->newestRoster = records::decodeRoster(record.value);
        return;
    }
    if (key.kind != records::KeyKind::Job && key.kind != records::KeyKind::LaterProgress) {
        return;
    }
    const JobProgress progress = records::decodeProgress(record.key, record.value);
    JobEntry *job = this->find(key.job);
    if (job == nullptr) {
        // Kept as a record, which takes less memory than its decoded form.
        this->pendingProgress[{ key.job, key.part }] = record.value;
        return;
    }
    if (job->endStored) {
        return;
    }
    for (const TaskProgress &task : progress.tasks) {
        applyTask(*job, task);
    }
    // The tasks of all parts may show the end of a job whose first part does not show it yet.
    job->succeeded = job->succeeded || progress.succeeded;
    job->failed = job->failed || progress.failed;
    job->endStored = progress.succeeded || progress.failed;
    if (job->endStored) {
        job->releaseEnded();
    }
}

void StepJobTable::applyTask(JobEntry &job, const TaskProgress &progress)
{
    const TaskRef ref { job.spec.id, progress.occurrence, progress.step, progress.index };
    if (!job.hasTask(ref)) {
        return;
    }
    StepTask &task = job.changeTask(ref);
    task.assignedTo = progress.assignedTo;
    task.crashedAttempts = progress.crashedAttempts;
    task.youngCrashes = progress.youngCrashes;
    if (job.step(ref).runsIndefinitely) {
        task.recordedWaitsSince = progress.waitsSince;
    }
    job.started = job.started || showsRun(progress);
    for (const std::uint64_t attempt : progress.failedAttempts) {
        countFailure(job, { ref, attempt });
    }
    if (progress.succeeded) {
        countSuccess(job, ref);
    }
    job.releaseTask(ref);
}

std::size_t StepJobTable::memoryOf(const StepJob &job)
{
    constexpr std::size_t mapNodeBytes = 64;
    constexpr std::size_t bitsPerByte = 8;
    // Of an occurrence that has not begun, one under way, and one that has ended.
    constexpr std::size_t statesOfAStep = 3;
    std::size_t bytes = sizeof(JobEntry) + mapNodeBytes + job.payload.size();
    for (const StepSpec &step : job.steps) {
        bytes += sizeof(StepSpec) + statesOfAStep * sizeof(StepState);
        bytes += step.requiredLabel.size() + step.dataRack.size() + step.image.size();
        bytes += step.dependsOn.size() * sizeof(std::uint32_t) + step.taskCount / bitsPerByte;
    }
    return bytes;
}

std::size_t StepJobTable::memoryOfOpenJobs() const
{
    std::size_t bytes = 0;
    for (const auto &[id, job] : this->jobs) {
        bytes += job.hasEnded() ? 0 : memoryOf(job.spec);
    }
    return bytes;
}

JobEntry *StepJobTable::find(const JobId &job)
{
    const auto found = this->jobs.find(job);
    return found == this->jobs.end() ? nullptr : &found->second;
}

const JobEntry *StepJobTable::find(const JobId &job) const
{
    const auto found = this->jobs.find(job);
    return found == this->jobs.end() ? nullptr : &found->second;
}

bool StepJobTable::countSuccess(JobEntry &job, const TaskRef &ref)
{
    // The progress record of a succeeded job does not list its tasks, so check the job as well.
    if (job.succeeded || job.task(ref).succeeded || job.step(ref).runsIndefinitely) {
        return false;
    }
    OccurrenceState &occurrence = job.occurrences.change(ref.occurrence);
    StepState &step = occurrence.steps.at(ref.step);
    step.tasks.markSucceeded(ref.index);
    if (step.tasks.allSucceeded() && ++occurrence.succeededSteps == job.spec.steps.size()) {
        job.occurrences.markEnded(ref.occurrence);
    }
    job.succeeded = job.occurrences.allEnded();
    return true;
}

bool StepJobTable::countFailure(JobEntry &job, const AttemptRef &attempt)
{
    std::vector<std::uint64_t> &counted = job.changeTask(attempt.task).failedAttempts;
    if (std::find(counted.begin(), counted.end(), attempt.attempt) != counted.end()) {
        return false;
    }
    if (job.step(attempt.task).runsIndefinitely) {
        return false;
    }
    counted.push_back(attempt.attempt);
    if (counted.size() >= job.spec.maxAttempts) {
        job.failed = true;
    }
    return true;
}

JobProgress StepJobTable::progressOf(const JobEntry &job, const ProgressPart &part)
{
    JobProgress progress;
    progress.job = job.spec.id;
    if (part.isFirst()) {
        progress.succeeded = job.succeeded;
        progress.failed = job.failed && !job.succeeded;
    }
    if (job.hasEnded() && (part.isFirst() || job.cancelled)) {
        return progress;
    }
    const std::size_t first = part.number * tasksPerProgressPart;
    const std::size_t end = std::min(first + tasksPerProgressPart, job.spec.taskCount());
    for (std::size_t position = first; position < end; ++position) {
        const TaskRef ref = job.spec.taskAt(position);
        const StepTask &task = job.task(ref);
        TaskProgress recorded { ref.occurrence,
                                ref.step,
                                ref.index,
                                task.succeeded,
                                task.failedAttempts,
                                task.crashedAttempts,
                                task.youngCrashes,
                                task.assignedTo,
                                task.recordedWaitsSince };
        if (showsRun(recorded) || recorded.assignedTo || recorded.waitsSince) {
            progress.tasks.push_back(std::move(recorded));
        }
    }
    return progress;
}

} // namespace bulrush
