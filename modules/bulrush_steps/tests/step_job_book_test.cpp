#include "bulrush_core/bulrush_core.h"
#include "bulrush_steps/bulrush_steps.h"

#include <criterion/criterion.h>

using namespace bulrush;

namespace {

StepJob twoStepJob(const char *id)
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

KeyedRecord recordOf(const StepJob &job, LogOffset offset)
{
    return { records::jobKey(job.id), records::encode(job), offset };
}

KeyedRecord recordOf(const JobProgress &progress)
{
    return { records::jobKey(progress.job), records::encode(progress), 0 };
}

} // namespace

Test(StepJobBook, jobSurvivesItsRecord)
{
    StepJob job = twoStepJob("a");
    job.steps[1].fills = true;
    job.steps[1].image = "img";
    job.steps[1].tailTarget = milliseconds(50);
    job.steps[1].requiredLabel = "big";
    const StepJob read = records::decodeJob(records::encode(job));
    cr_assert(read.id == job.id);
    cr_assert(read.steps == job.steps);
    cr_assert_eq(read.maxAttempts, 2U);
}

Test(StepJobBook, malformedRecordsAreRefused)
{
    cr_assert_throw(records::decodeJob("{"), Error);
    cr_assert_throw(records::decodeJob(R"({"schema":9})"), Error);
    cr_assert_throw(records::decodeJob(R"({"schema":1,"job":7})"), Error);
    cr_assert_throw(records::decodeProgress("job/a", R"({"schema":1,"tasks":[[1]]})"), Error);
}

Test(StepJobBook, repeatedSubmissionStaysOneJob)
{
    const PausableClock clock;
    StepJobBook book;
    cr_assert(book.applyJobRecord(recordOf(twoStepJob("a"), 3), clock).has_value());
    cr_assert_not(book.applyJobRecord(recordOf(twoStepJob("a"), 9), clock).has_value());
    cr_assert_eq(book.entries().size(), 1U);
}

Test(StepJobBook, cancellationBeforeItsJobIsKept)
{
    const PausableClock clock;
    StepJobBook book;
    book.applyJobRecord({ records::cancellationKey(JobId("a")), "{}", 1 }, clock);
    book.applyJobRecord(recordOf(twoStepJob("a"), 2), clock);
    cr_assert(book.find(JobId("a"))->cancelled);
}

Test(StepJobBook, secondStepWaitsForAllTasksOfTheFirst)
{
    const PausableClock clock;
    StepJobBook book;
    book.applyJobRecord(recordOf(twoStepJob("a"), 0), clock);
    JobEntry &job = *book.find(JobId("a"));
    cr_assert_not(job.stepUnlocked(0, 1));
    StepJobBook::countSuccess(job, { JobId("a"), 0, 0, 0 });
    cr_assert_not(job.stepUnlocked(0, 1));
    StepJobBook::countSuccess(job, { JobId("a"), 0, 0, 1 });
    cr_assert(job.stepUnlocked(0, 1));
    cr_assert_not(job.succeeded);
    StepJobBook::countSuccess(job, { JobId("a"), 0, 1, 0 });
    cr_assert(job.succeeded);
}

Test(StepJobBook, aFailedAttemptCountsOnce)
{
    const PausableClock clock;
    StepJobBook book;
    book.applyJobRecord(recordOf(twoStepJob("a"), 0), clock);
    JobEntry &job = *book.find(JobId("a"));
    const TaskRef task { JobId("a"), 0, 0, 0 };
    cr_assert(StepJobBook::countFailure(job, { task, 7 }));
    cr_assert_not(StepJobBook::countFailure(job, { task, 7 }));
    cr_assert_not(job.failed);
    cr_assert(StepJobBook::countFailure(job, { task, 9 }));
    cr_assert(job.failed);
}

/* A worker lists an end again that a former owner has put on record but not acknowledged. */
Test(StepJobBook, aListedEndDoesNotReopenAJobThatSucceededOnRecord)
{
    const PausableClock clock;
    StepJobBook book;
    book.applyJobRecord(recordOf(twoStepJob("a"), 0), clock);
    JobProgress progress;
    progress.job = JobId("a");
    progress.succeeded = true;
    book.applyProgress(recordOf(progress));
    JobEntry &job = *book.find(JobId("a"));
    cr_assert(job.over());
    cr_assert_not(StepJobBook::countSuccess(job, { JobId("a"), 0, 0, 0 }));
    cr_assert(job.succeeded, "a job on record as succeeded was opened again");
    cr_assert(job.shownState() == JobState::Succeeded);
}

Test(StepJobBook, progressThatComesBeforeItsJobIsKept)
{
    const PausableClock clock;
    StepJobBook book;
    JobProgress progress;
    progress.job = JobId("a");
    progress.tasks.push_back({ 0, 0, 1, true, { 5 } });
    book.applyProgress(recordOf(progress));
    book.applyJobRecord(recordOf(twoStepJob("a"), 0), clock);
    const JobEntry &job = *book.find(JobId("a"));
    cr_assert(job.occurrences[0].steps[0].tasks[1].succeeded);
    cr_assert_eq(job.occurrences[0].steps[0].succeeded, 1U);
}

Test(StepJobBook, successIsShownOnlyWhenItIsOnRecord)
{
    const PausableClock clock;
    StepJobBook book;
    StepJob small = twoStepJob("a");
    small.steps.resize(1);
    book.applyJobRecord(recordOf(small, 0), clock);
    JobEntry &job = *book.find(JobId("a"));
    job.begun = true;
    StepJobBook::countSuccess(job, { JobId("a"), 0, 0, 0 });
    StepJobBook::countSuccess(job, { JobId("a"), 0, 0, 1 });
    cr_assert(job.succeeded);
    cr_assert(job.shownState() == JobState::Running);
    job.endOnRecord = true;
    cr_assert(job.shownState() == JobState::Succeeded);
}
