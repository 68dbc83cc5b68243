#include "bulrush_core/bulrush_core.h"
#include "bulrush_steps/bulrush_steps.h"

#include <criterion/criterion.h>

#include <functional>
#include <limits>

using namespace bulrush;

namespace {

StepJob makeTwoStepJob(const char *id)
{
    StepJob job;
    job.id = JobId(id);
    job.queue = "checks";
    job.service = ServiceId("review");
    job.maxAttempts = 2;
    StepSpec first;
    first.taskCount = 2;
    first.size = { 1000, 100, 0 };
    StepSpec second = first;
    second.taskCount = 1;
    second.dependsOn = { 0 };
    job.steps = { first, second };
    return job;
}

KeyedRecord makeRecord(const StepJob &job, LogOffset offset)
{
    return { records::jobKey(job.id), records::encode(job), offset };
}

KeyedRecord makeRecord(const JobProgress &progress)
{
    return { records::jobKey(progress.job), records::encode(progress), 0 };
}

} // namespace

Test(StepJobTable, aJobIsDecodedAsItWasEncoded)
{
    StepJob job = makeTwoStepJob("a");
    job.steps[1].fills = true;
    job.steps[1].image = "img";
    job.steps[1].tailTarget = milliseconds(50);
    job.steps[1].requiredLabel = "big";
    const StepJob read = records::decodeJob(records::encode(job));
    cr_assert(read.id == job.id);
    cr_assert(read.steps == job.steps);
    cr_assert_eq(read.maxAttempts, 2U);
}

Test(StepJobTable, malformedRecordsAreRefused)
{
    cr_assert_throw(records::decodeJob("{"), Error);
    cr_assert_throw(records::decodeJob(R"({"schema":9})"), Error);
    cr_assert_throw(records::decodeJob(R"({"schema":1,"job":7})"), Error);
    cr_assert_throw(records::decodeProgress("job/a", R"({"schema":1,"tasks":[[1]]})"), Error);
}

Test(StepJobTable, repeatedSubmissionStaysOneJob)
{
    const ManualClock clock;
    StepJobTable table;
    cr_assert(table.applyJobRecord(makeRecord(makeTwoStepJob("a"), 3), clock).has_value());
    cr_assert_not(table.applyJobRecord(makeRecord(makeTwoStepJob("a"), 9), clock).has_value());
    cr_assert_eq(table.entries().size(), 1U);
}

Test(StepJobTable, cancellationBeforeItsJobIsKept)
{
    const ManualClock clock;
    StepJobTable table;
    table.applyJobRecord({ records::cancellationKey(JobId("a")), "{}", 1 }, clock);
    table.applyJobRecord(makeRecord(makeTwoStepJob("a"), 2), clock);
    cr_assert(table.find(JobId("a"))->cancelled);
}

Test(StepJobTable, secondStepWaitsForAllTasksOfTheFirst)
{
    const ManualClock clock;
    StepJobTable table;
    table.applyJobRecord(makeRecord(makeTwoStepJob("a"), 0), clock);
    JobEntry &job = *table.find(JobId("a"));
    cr_assert_not(job.dependenciesMet(0, 1));
    StepJobTable::countSuccess(job, { JobId("a"), 0, 0, 0 });
    cr_assert_not(job.dependenciesMet(0, 1));
    StepJobTable::countSuccess(job, { JobId("a"), 0, 0, 1 });
    cr_assert(job.dependenciesMet(0, 1));
    cr_assert_not(job.succeeded);
    StepJobTable::countSuccess(job, { JobId("a"), 0, 1, 0 });
    cr_assert(job.succeeded);
}

Test(StepJobTable, aFailedAttemptCountsOnce)
{
    const ManualClock clock;
    StepJobTable table;
    table.applyJobRecord(makeRecord(makeTwoStepJob("a"), 0), clock);
    JobEntry &job = *table.find(JobId("a"));
    const TaskRef task { JobId("a"), 0, 0, 0 };
    cr_assert(StepJobTable::countFailure(job, { task, 7 }));
    cr_assert_not(StepJobTable::countFailure(job, { task, 7 }));
    cr_assert_not(job.failed);
    cr_assert(StepJobTable::countFailure(job, { task, 9 }));
    cr_assert(job.failed);
}

/* A worker lists an end until it is acknowledged, including one that a former owner stored but
   did not acknowledge. */
Test(StepJobTable, anEndListedAgainDoesNotReopenAJobRecordedAsSucceeded)
{
    const ManualClock clock;
    StepJobTable table;
    table.applyJobRecord(makeRecord(makeTwoStepJob("a"), 0), clock);
    JobProgress progress;
    progress.job = JobId("a");
    progress.succeeded = true;
    table.applyProgress(makeRecord(progress));
    JobEntry &job = *table.find(JobId("a"));
    cr_assert(job.hasEnded());
    cr_assert_not(StepJobTable::countSuccess(job, { JobId("a"), 0, 0, 0 }));
    cr_assert(job.succeeded, "a job recorded as succeeded was reopened");
    cr_assert(job.visibleState() == JobState::Succeeded);
}

Test(StepJobTable, progressReadBeforeItsJobIsKept)
{
    const ManualClock clock;
    StepJobTable table;
    JobProgress progress;
    progress.job = JobId("a");
    progress.tasks.push_back({ 0, 0, 1, true, { 5 }, {}, {}, {} });
    table.applyProgress(makeRecord(progress));
    table.applyJobRecord(makeRecord(makeTwoStepJob("a"), 0), clock);
    const JobEntry &job = *table.find(JobId("a"));
    const TaskStates &tasks = job.occurrences.at(0).steps[0].tasks;
    cr_assert(tasks.at(1).succeeded);
    cr_assert_eq(tasks.succeeded(), 1U);
}

Test(StepJobTable, successIsReportedOnlyAfterItIsStored)
{
    const ManualClock clock;
    StepJobTable table;
    StepJob small = makeTwoStepJob("a");
    small.steps.resize(1);
    table.applyJobRecord(makeRecord(small, 0), clock);
    JobEntry &job = *table.find(JobId("a"));
    job.started = true;
    StepJobTable::countSuccess(job, { JobId("a"), 0, 0, 0 });
    StepJobTable::countSuccess(job, { JobId("a"), 0, 0, 1 });
    cr_assert(job.succeeded);
    cr_assert(job.visibleState() == JobState::Running);
    job.endStored = true;
    cr_assert(job.visibleState() == JobState::Succeeded);
}

namespace {

/** Returns whether a job's record is rejected with an Error; any other exception would end the
    process. */
bool rejectsRecord(const KeyedRecord &record)
{
    const ManualClock clock;
    StepJobTable table;
    try {
        table.applyJobRecord(record, clock);
        return table.entries().empty();
    } catch (const Error &) {
        return true;
    }
}

bool rejectsJob(const std::function<void(StepJob &)> &change)
{
    StepJob job = makeTwoStepJob("a");
    change(job);
    return rejectsRecord(makeRecord(job, 1));
}

} // namespace

/* A record named another job than its key, and the owner used the job of the key, which was not
   there. */
Test(StepJobTable, aRecordOfAnotherJobThanItsKeyIsRejected)
{
    cr_assert(rejectsRecord({ "job/b", records::encode(makeTwoStepJob("a")), 1 }));
    cr_assert_not(rejectsRecord({ "job/a", records::encode(makeTwoStepJob("a")), 1 }));
}

/* A step that depends on itself or on a missing one was looked up and ended the process. */
Test(StepJobTable, aStepThatDependsOnNoEarlierOneIsRejected)
{
    for (const std::uint32_t step : { 1U, 2U, 4'294'967'295U }) {
        cr_assert(rejectsJob([step](StepJob &job) { job.steps[1].dependsOn = { step }; }));
    }
}

/* A state is kept for each task of each occurrence: billions of them exhaust the memory. */
Test(StepJobTable, aRecordWithTooManyTasksIsRejected)
{
    cr_assert(rejectsJob([](StepJob &job) { job.steps[0].taskCount = 4'000'000'000; }));
    cr_assert(rejectsJob([](StepJob &job) { job.occurrences = 4'000'000'000; }));
    cr_assert(rejectsJob([](StepJob &job) { job.steps[0].taskCount = 0; }));
}

/* Times are summed and converted to nanoseconds, demands are multiplied. */
Test(StepJobTable, aRecordWithANumberOutOfRangeIsRejected)
{
    constexpr std::int64_t most = std::numeric_limits<std::int64_t>::max();
    for (const std::int64_t odd : { most, -most, std::int64_t { -1 } }) {
        cr_assert(rejectsJob([odd](StepJob &job) { job.steps[0].estimate = milliseconds(odd); }));
        cr_assert(rejectsJob([odd](StepJob &job) { job.steps[0].tailTarget = milliseconds(odd); }));
        cr_assert(rejectsJob([odd](StepJob &job) { job.steps[0].size.cpuMilli = odd; }));
        cr_assert(rejectsJob([odd](StepJob &job) { job.steps[0].size.memoryMb = odd; }));
        cr_assert(rejectsJob([odd](StepJob &job) { job.steps[0].size.accelerators = odd; }));
        cr_assert(rejectsJob([odd](StepJob &job) { job.firstDue = odd; }));
        cr_assert(rejectsJob([odd](StepJob &job) { job.interval = milliseconds(odd); }));
        cr_assert(rejectsJob([odd](StepJob &job) { job.acceptedAt = odd; }));
        cr_assert(rejectsJob([odd](StepJob &job) { job.latencyTarget = milliseconds(odd); }));
        cr_assert(rejectsJob([odd](StepJob &job) { job.slackFactor = double(odd) * 1e300; }));
    }
}

/* A resignation that leaves a negative or endless wait would free tasks at once, or never. */
Test(StepJobTable, aResignationWithAWaitOutOfRangeIsRejected)
{
    constexpr std::int64_t most = std::numeric_limits<std::int64_t>::max();
    for (const std::int64_t odd : { most, -most, std::int64_t { -1 } }) {
        const ManualClock clock;
        StepJobTable table;
        const Resignation resignation { 2, { { 1, milliseconds(odd) } } };
        cr_assert_throw(table.applyJobRecord({ records::resignationKey(2),
                                               records::encodeResignation(resignation), 1 },
                                             clock),
                        Error);
    }
}

/* Copying a deeply nested field of the roster overflowed the stack. */
Test(StepJobTable, aDeeplyNestedRosterIsRejected)
{
    constexpr std::size_t brackets = 150'000;
    const std::string nested = std::string(brackets, '[') + std::string(brackets, ']');
    StepJobTable table;
    for (const char *fields : { R"({"schema":1,"workers":[],"formerOwners":)",
                                R"({"schema":1,"workers":)", R"({"schema":)" }) {
        const KeyedRecord record { records::rosterKey(), fields + nested + "}", 1 };
        cr_assert_throw(table.applyProgress(record), Error);
    }
}
