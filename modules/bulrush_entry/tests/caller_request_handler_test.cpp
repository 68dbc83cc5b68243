#include "FakeCallers.h"
#include "bulrush_entry/front/CallerRequestHandler.h"
#include "bulrush_steps/tests/FakeWorkers.h"

#include <criterion/criterion.h>

using namespace bulrush;
using namespace bulrush::test;

namespace {

/** The memory of a node. */
constexpr std::size_t memoryMb = 160;

/** Takes records, which the test answers. */
class FakeCarrier : public RecordCarrier
{
public:
    bool takesRecords() override { return this->taking; }
    void handOver(HandedRecord /*record*/, Callback callback) override
    {
        this->callbacks.push_back(std::move(callback));
    }

    bool taking = true;
    std::vector<Callback> callbacks;
};

class HandlerFixture
{
public:
    HandlerFixture()
        : health(clock, decisions)
        , view(clock, log, decisions)
        , handler(clock, log, decoder, owner, view, health, decisions,
                  JobAdmission(clock, memoryMb))
    {
        this->handler.configure(this->decoder.servingConfig(""));
    }

    std::optional<CallerAnswer> send(CallerRequestKind kind, const std::string &where,
                                     const std::string &body = "{}")
    {
        this->answer.reset();
        CallerRequest request;
        request.kind = kind;
        request.host = "h";
        request.path = where;
        request.body = body;
        request.timeLimit = milliseconds(3000);
        this->handler.serve(request, [this](const CallerAnswer &answer) { this->answer = answer; });
        this->log.deliver();
        this->log.deliver();
        this->log.deliver();
        return this->answer;
    }

    void run(milliseconds span)
    {
        for (milliseconds passed { 0 }; passed < span; passed += milliseconds(20)) {
            this->clock.advance(milliseconds(20));
            this->handler.tick();
            this->log.deliver();
        }
    }

    ManualClock clock;
    NullDecisionLog decisions;
    FakeLog log;
    FakeDecoder decoder;
    FakeOwner owner;
    StoreHealth health;
    RecordsView view;
    std::optional<CallerAnswer> answer;
    CallerRequestHandler handler;
};

} // namespace

Test(CallerRequestHandler, acceptsAJobOnlyWhenItIsRecorded)
{
    HandlerFixture fixture;
    cr_assert(fixture.send(CallerRequestKind::Submit, jobPath)->outcome == CallerOutcome::Accepted);
    cr_assert_neq(fixture.log.newestValue(LogStream::Jobs, "job/0123456789abcdef"), "");
}

/* A job whose record is longer than the store takes was sent to it until the caller's time limit.
 */
Test(CallerRequestHandler, refusesAtOnceAJobThatFitsIntoNoRecord)
{
    HandlerFixture fixture;
    fixture.log.maxSizes.record = 100;
    cr_assert(fixture.send(CallerRequestKind::Submit, jobPath)->outcome
              == CallerOutcome::Malformed);
}

/* Nothing bounded the memory that all accepted jobs take together. */
Test(CallerRequestHandler, refusesJobsWhileThoseThatHaveNotEndedTakeTheMemoryForThem)
{
    HandlerFixture fixture;
    fixture.owner.answer.kind = OwnerAnswer::Kind::Known;
    fixture.owner.answer.jobMemory = (memoryMb << 20U) / 2;
    fixture.send(CallerRequestKind::Query, jobPath);
    const CallerAnswer refused = fixture.send(CallerRequestKind::Submit, jobPath).value();
    cr_expect(refused.outcome == CallerOutcome::Refused);
    cr_expect_gt(refused.retryAfter.value().count(), 0);
    cr_expect_eq(fixture.log.newestValue(LogStream::Jobs, "job/0123456789abcdef"), "");
    fixture.owner.answer.jobMemory = 1000;
    fixture.run(seconds(1));
    cr_expect(fixture.send(CallerRequestKind::Submit, jobPath)->outcome == CallerOutcome::Accepted);
}

Test(CallerRequestHandler, refusesMalformedRequestsAndUnknownQueues)
{
    HandlerFixture fixture;
    cr_assert(fixture.send(CallerRequestKind::Submit, jobPath, "bad")->outcome
              == CallerOutcome::Malformed);
    cr_assert(fixture.send(CallerRequestKind::Submit, "/q/short")->outcome
              == CallerOutcome::Malformed);
    cr_assert(fixture.send(CallerRequestKind::Submit, "/x/1")->outcome
              == CallerOutcome::NoSuchQueue);
    cr_assert(fixture.log.streams[LogStream::Jobs].empty());
}

/* The append took effect but its answer was lost, so the job may run: it must not be refused. */
Test(CallerRequestHandler, anAppendWithoutAnAnswerIsNeverRefused)
{
    HandlerFixture fixture;
    fixture.log.losesAppendAnswers = true;
    cr_assert_not(fixture.send(CallerRequestKind::Submit, jobPath).has_value());
    fixture.log.up = false;
    fixture.log.refusesAppends = true;
    fixture.log.losesAppendAnswers = false;
    fixture.run(seconds(4));
    cr_assert(fixture.answer->outcome == CallerOutcome::Unknown);
}

Test(CallerRequestHandler, aRepeatedAppendResolvesALostAnswer)
{
    HandlerFixture fixture;
    fixture.log.losesAppendAnswers = true;
    fixture.send(CallerRequestKind::Submit, jobPath);
    fixture.log.losesAppendAnswers = false;
    fixture.run(milliseconds(500));
    cr_assert(fixture.answer->outcome == CallerOutcome::Accepted);
}

Test(CallerRequestHandler, refusesAJobWhoseAppendsWereAllRefused)
{
    HandlerFixture fixture;
    fixture.log.up = false;
    fixture.log.refusesAppends = true;
    fixture.send(CallerRequestKind::Submit, jobPath);
    fixture.run(seconds(4));
    cr_assert(fixture.answer->outcome == CallerOutcome::Refused);
    cr_assert(fixture.answer->retryAfter.has_value());
    cr_assert(fixture.log.streams[LogStream::Jobs].empty());
}

/* While the store is known to be lost, a job is refused at once, not held until its time limit. */
Test(CallerRequestHandler, refusesAtOnceWhileTheStoreIsLost)
{
    HandlerFixture fixture;
    fixture.clock.advance(seconds(3));
    const std::optional<CallerAnswer> answer = fixture.send(CallerRequestKind::Submit, jobPath);
    cr_assert(answer->outcome == CallerOutcome::Refused);
    cr_assert(answer->retryAfter.has_value());
    cr_assert(fixture.log.streams[LogStream::Jobs].empty());
}

/* Another node has just accepted the job, and the owner has not read its record yet. */
Test(CallerRequestHandler, aJobUnknownToTheOwnerIsLookedUpInTheLog)
{
    HandlerFixture fixture;
    fixture.send(CallerRequestKind::Submit, jobPath);
    fixture.owner.answer.kind = OwnerAnswer::Kind::NotKnown;
    cr_assert(fixture.send(CallerRequestKind::Query, jobPath)->outcome == CallerOutcome::State);
    cr_assert(fixture.send(CallerRequestKind::Query, "/q/ffffffffffffffff")->outcome
              == CallerOutcome::NoSuchJob);
}

Test(CallerRequestHandler, neverReportsAJobAsMissingWithoutOwnerAndStore)
{
    HandlerFixture fixture;
    fixture.send(CallerRequestKind::Submit, jobPath);
    fixture.log.up = false;
    cr_assert(fixture.send(CallerRequestKind::Query, jobPath)->outcome == CallerOutcome::Refused);
}

Test(CallerRequestHandler, aCancellationIsAnsweredWhenItIsRecorded)
{
    HandlerFixture fixture;
    fixture.send(CallerRequestKind::Submit, jobPath);
    fixture.owner.answer = { OwnerAnswer::Kind::Known, JobState::Running, 0 };
    cr_assert(fixture.send(CallerRequestKind::Cancel, jobPath)->outcome
              == CallerOutcome::Cancelled);
    cr_assert_neq(fixture.log.newestValue(LogStream::Jobs, "cancelled/0123456789abcdef"), "");
    cr_assert(fixture.send(CallerRequestKind::Cancel, "/q/ffffffffffffffff")->outcome
              == CallerOutcome::Cancelled);
}

/* A caller left, and cancelled its job at another node while the append of the job was under way.
   It was told that no such job exists, and the job, recorded 0.3 s later, ran on. */
Test(CallerRequestHandler, aJobThatIsRecordedAfterItsCancellationIsCancelled)
{
    HandlerFixture fixture;
    cr_assert(fixture.send(CallerRequestKind::Cancel, jobPath)->outcome
              == CallerOutcome::NoSuchJob);
    cr_assert_neq(fixture.log.newestValue(LogStream::Jobs, "cancelled/0123456789abcdef"), "");
    fixture.send(CallerRequestKind::Submit, jobPath);
    const CallerAnswer state = fixture.send(CallerRequestKind::Query, jobPath).value();
    cr_assert(state.outcome == CallerOutcome::State);
    cr_expect(state.state == JobState::Cancelled);
}

/* The caller relies on the answer: no job with this id runs from now on. */
Test(CallerRequestHandler, aJobIsNotReportedAsMissingToItsCancellerBeforeTheCancellationIsRecorded)
{
    HandlerFixture fixture;
    fixture.owner.answer.kind = OwnerAnswer::Kind::NotKnown;
    fixture.log.losesAppendAnswers = true;
    cr_assert_not(fixture.send(CallerRequestKind::Cancel, jobPath).has_value());
    fixture.run(seconds(4));
    cr_assert(fixture.answer->outcome == CallerOutcome::Unknown);
}

/* Callers that cancel jobs that never existed would fill the memory of all nodes. */
Test(CallerRequestHandler, refusesCancellationsOfUnknownJobsWhileTooManyAreOnRecord)
{
    HandlerFixture fixture;
    fixture.log.pageSize = EarlyCancellations::maxCount;
    for (std::size_t number = 0; number < EarlyCancellations::maxCount; ++number) {
        const Cancellation cancellation { fixture.clock.calendarMillis() };
        const std::string key = records::cancellationKey(JobId(std::to_string(number)));
        fixture.log.streams[LogStream::Jobs].push_back(
                { key, records::encode(cancellation), LogOffset { 0 } });
    }
    fixture.send(CallerRequestKind::Query, jobPath);
    fixture.run(seconds(1));
    const CallerAnswer refused = fixture.send(CallerRequestKind::Cancel, jobPath).value();
    cr_expect(refused.outcome == CallerOutcome::Refused);
    cr_expect_gt(refused.retryAfter.value().count(), 0);
    cr_expect_eq(fixture.log.newestValue(LogStream::Jobs, "cancelled/0123456789abcdef"), "");
    cr_expect(fixture.send(CallerRequestKind::Submit, jobPath)->outcome == CallerOutcome::Accepted);
    cr_expect(fixture.send(CallerRequestKind::Cancel, jobPath)->outcome
              == CallerOutcome::Cancelled);
}

Test(CallerRequestHandler, countsWaitingJobsWithoutAnOwner)
{
    HandlerFixture fixture;
    fixture.send(CallerRequestKind::Submit, jobPath);
    const std::optional<CallerAnswer> answer = fixture.send(CallerRequestKind::CountWaiting, "/q/");
    cr_assert(fixture.send(CallerRequestKind::Query, "/q/")->outcome == CallerOutcome::Waiting);
    cr_assert_eq(fixture.answer->waiting, 1U);
    cr_assert(answer->outcome == CallerOutcome::Malformed, "only a query may count waiting jobs");
}

/* While the store is slow, each record was an append of its own, and the partition's queue grew
   until nothing was recorded. */
Test(CallerRequestHandler, recordsThatArriveWhileTheStoreIsSlowShareAnAppend)
{
    HandlerFixture fixture;
    fixture.handler.callerAppends().noteSlowStore();
    std::size_t accepted = 0;
    CallerRequest request;
    request.kind = CallerRequestKind::Submit;
    request.host = "h";
    request.body = "{}";
    request.timeLimit = milliseconds(3000);
    for (const char *path : { "/q/0123456789abcde1", "/q/0123456789abcde2", "/q/0123456789abcde3",
                              "/q/0123456789abcde4" }) {
        request.path = path;
        fixture.handler.serve(request, [&accepted](const CallerAnswer &answer) {
            accepted += answer.outcome == CallerOutcome::Accepted ? 1 : 0;
        });
    }
    fixture.run(milliseconds(100));
    cr_assert_eq(accepted, 4U);
    cr_assert_eq(fixture.handler.callerAppends().counts().appends, 2U);
    cr_assert_eq(fixture.handler.callerAppends().counts().records, 4U);
}

/* A job that is handed over may run until the owner has said that it was not recorded, so its
   caller must not be told that it was refused; and one that was not recorded must be. */
Test(CallerRequestHandler, aHandedOverJobIsRefusedOnlyOnceTheOwnerHasNotRecordedIt)
{
    for (const AppendResult ended :
         { AppendResult::Recorded, AppendResult::NotInTime, AppendResult::Unknown }) {
        HandlerFixture fixture;
        FakeCarrier carrier;
        fixture.handler.callerAppends().handOverTo(carrier);
        fixture.handler.callerAppends().noteSlowStore();
        cr_assert_not(fixture.send(CallerRequestKind::Submit, jobPath).has_value());
        cr_assert(fixture.log.streams[LogStream::Jobs].empty());
        carrier.taking = false;
        fixture.log.up = false;
        carrier.callbacks.at(0)({ ended, 5, seconds(1), false });
        fixture.run(seconds(3));
        const CallerOutcome expected = ended == AppendResult::Recorded ? CallerOutcome::Accepted
                : ended == AppendResult::NotInTime                     ? CallerOutcome::Refused
                                                                       : CallerOutcome::Unknown;
        cr_expect(fixture.answer->outcome == expected, "%d", static_cast<int>(ended));
    }
}

/* The owner that a job was handed over to is gone: the node appends the job by itself. */
Test(CallerRequestHandler, aHandedOverJobWithoutAnAnswerIsAppendedByTheNode)
{
    HandlerFixture fixture;
    FakeCarrier carrier;
    fixture.handler.callerAppends().handOverTo(carrier);
    fixture.handler.callerAppends().noteSlowStore();
    fixture.send(CallerRequestKind::Submit, jobPath);
    carrier.taking = false;
    carrier.callbacks.at(0)({ AppendResult::Unknown, 0, {}, true });
    fixture.run(milliseconds(200));
    cr_assert(fixture.answer->outcome == CallerOutcome::Accepted);
}
