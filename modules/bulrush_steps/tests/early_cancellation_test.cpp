#include "DispatcherFixture.h"
#include "bulrush_steps/model/EarlyCancellations.h"

#include <criterion/criterion.h>

using namespace bulrush;
using namespace bulrush::test;

namespace {

constexpr UnixMillis cancelledAt = 1'700'000'000'000;
constexpr UnixMillis minute = 60'000;

} // namespace

/* A caller cancelled a job whose record was on its way to the log. The owner read the record
   afterwards, and the tasks of the job ran on. */
Test(EarlyCancellations, aJobThatIsRecordedAfterItsCancellationDoesNotStart)
{
    DispatcherFixture fixture;
    fixture.listWorker("w1");
    fixture.begin({});
    fixture.cancel("a");
    fixture.accept(makeJob("a", 1));
    fixture.accept(makeJob("b", 1));
    fixture.runFor(seconds(20));
    cr_assert_gt(fixture.workers.starts.size(), 0U);
    for (const FakeWorkers::SentStart &start : fixture.workers.starts) {
        cr_expect_eq(start.attempt.task.job.name(), "b");
    }
}

/* Nodes read the records of a snapshot in any order, and all have to decide alike. */
Test(EarlyCancellations, holdForJobsThatWereAcceptedBeforeOrSoonAfterInEitherOrder)
{
    const ManualClock clock;
    const auto isCancelled = [&clock](UnixMillis acceptedAt, bool jobFirst) {
        StepJob job = makeJob("a", 1);
        job.acceptedAt = acceptedAt;
        const KeyedRecord jobRecord { records::jobKey(job.id), records::encode(job), 1 };
        const KeyedRecord cancellation { records::cancellationKey(job.id),
                                         records::encode(Cancellation { cancelledAt }), 2 };
        StepJobTable table;
        table.applyJobRecord(jobFirst ? jobRecord : cancellation, clock);
        table.applyJobRecord(jobFirst ? cancellation : jobRecord, clock);
        return table.find(job.id)->cancelled;
    };
    for (const bool jobFirst : { false, true }) {
        cr_expect(isCancelled(cancelledAt - 3000, jobFirst));
        cr_expect(isCancelled(cancelledAt + minute, jobFirst));
        cr_expect_not(isCancelled(cancelledAt + 20 * minute, jobFirst));
    }
}

/* A cancellation of a job on record holds whatever the clocks of the nodes show. So does one of an
   earlier version or of another writer, whose time cannot be read. */
Test(EarlyCancellations, holdWithoutATime)
{
    for (const char *value : { R"({"schema":1})", "{", "[]", R"({"earlyAt":"now"})",
                               R"({"earlyAt":-1})", R"({"earlyAt":18446744073709551615})" }) {
        const Cancellation cancellation = records::decodeCancellation(value);
        cr_expect(cancellation.holdsFor(cancelledAt), "%s", value);
        cr_expect_not(cancellation.hasExpired(cancelledAt), "%s", value);
    }
}

Test(EarlyCancellations, theTimeOfACancellationIsReadAsItWasWritten)
{
    const Cancellation read =
            records::decodeCancellation(records::encode(Cancellation { cancelledAt }));
    cr_assert_eq(read.earlyAt.value(), cancelledAt);
}

/* Callers that cancel jobs that never existed would fill the memory of all nodes. */
Test(EarlyCancellations, thoseThatNoJobFollowsTakeNoMemoryForEver)
{
    constexpr int cancellationsASecond = 10;
    EarlyCancellations cancellations;
    std::size_t most = 0;
    for (int number = 0; number < 7200 * cancellationsASecond; ++number) {
        const UnixMillis now = cancelledAt + number * 1000 / cancellationsASecond;
        cancellations.add(JobId(std::to_string(number)), { now }, now);
        most = std::max(most, cancellations.count());
    }
    // Those of eleven minutes, and as many that have expired.
    cr_assert_leq(most, std::size_t { 2 * 11 * 60 * cancellationsASecond });
}

/* Cancellations that have expired do not keep others from being recorded. */
Test(EarlyCancellations, areFullOnlyOfThoseThatHaveNotExpired)
{
    EarlyCancellations cancellations;
    for (std::size_t number = 0; number < EarlyCancellations::maxCount; ++number) {
        cancellations.add(JobId(std::to_string(number)), { cancelledAt }, cancelledAt);
    }
    cr_expect(cancellations.isFull(cancelledAt + minute));
    cr_expect_not(cancellations.isFull(cancelledAt + 20 * minute));
}
