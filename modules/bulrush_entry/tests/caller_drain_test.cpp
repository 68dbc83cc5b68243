#include "FakeCallers.h"
#include "bulrush_core/time/ManualClock.h"
#include "bulrush_entry/front/CallerRequestHandler.h"
#include "bulrush_entry/front/DrainSchedule.h"
#include "bulrush_steps/tests/FakeWorkers.h"

#include <criterion/criterion.h>

#include <optional>

using namespace bulrush;
using namespace bulrush::test;

namespace {

constexpr milliseconds gracePeriod { 6000 };

/** When a process with this grace period ends, if it has sent all answers. */
constexpr milliseconds exitAt { 5300 };

/** Requests to a node that is told to stop when the fixture is built. Neither the store nor the
    owner answers, unless the test lets them. */
class DrainFixture
{
public:
    DrainFixture()
        : health(clock, decisions)
        , view(clock, log, decisions)
        , handler(clock, log, decoder, owner, view, health, decisions, JobAdmission(clock, 0))
    {
        this->handler.configure(this->decoder.servingConfig(""));
        this->owner.silent = true;
    }

    void send(CallerRequestKind kind, const std::string &path = jobPath)
    {
        CallerRequest request;
        request.kind = kind;
        request.host = "h";
        request.path = path;
        request.timeLimit = seconds(30);
        this->health.recordOutcome("read", StoreOutcome::Done);
        ++this->openRequests;
        this->handler.serve(request, [this](const CallerAnswer &given) {
            ++this->answers;
            --this->openRequests;
            this->answer = given;
        });
    }

    /** Lets time pass, with ticks like a node's, until a time after the node was told to stop. */
    void runTo(milliseconds sinceDrain)
    {
        while (this->clock.now() < this->start + sinceDrain) {
            this->clock.advance(milliseconds(50));
            this->handler.tick();
            if (this->storeAnswers) {
                this->log.deliver();
            }
            const CallerActivity activity { this->openRequests, this->clock.now() };
            const DrainStep step = this->schedule.stepAt(this->clock.now(), activity);
            cr_assert(step != DrainStep::Stop || this->openRequests == 0,
                      "the process ended without an answer");
            this->handler.drain(step);
        }
    }

    ManualClock clock;
    NullDecisionLog decisions;
    FakeLog log;
    FakeDecoder decoder;
    FakeOwner owner;
    StoreHealth health;
    RecordsView view;
    CallerRequestHandler handler;
    Instant start = clock.now();
    DrainSchedule schedule { gracePeriod, start };
    std::optional<CallerAnswer> answer;
    int answers = 0;
    std::size_t openRequests = 0;
    bool storeAnswers = false;
};

} // namespace

/* The store had not answered the append of a late request when the process ended. */
Test(CallerDrain, aLateSubmissionIsRefusedAtOnceAndNotRecorded)
{
    for (const milliseconds beforeExit :
         { milliseconds(100), milliseconds(300), milliseconds(600) }) {
        DrainFixture fixture;
        fixture.runTo(exitAt - beforeExit);
        fixture.send(CallerRequestKind::Submit);
        cr_assert(fixture.answer.has_value());
        cr_assert(fixture.answer->outcome == CallerOutcome::Refused);
        cr_assert(fixture.answer->retryAfter == milliseconds(0), "another node serves it at once");
        cr_assert(fixture.log.streams[LogStream::Jobs].empty());
    }
}

Test(CallerDrain, lateQuestionsAreRefusedAtOnce)
{
    for (const CallerRequestKind kind : { CallerRequestKind::Query, CallerRequestKind::Cancel }) {
        DrainFixture fixture;
        fixture.runTo(exitAt - milliseconds(600));
        fixture.send(kind);
        cr_assert(fixture.answer.has_value());
        cr_assert(fixture.answer->outcome == CallerOutcome::Refused);
    }
    DrainFixture fixture;
    fixture.runTo(exitAt - milliseconds(600));
    fixture.send(CallerRequestKind::Query, "/q/");
    cr_assert(fixture.answer.has_value());
}

/* The append may have taken effect, so the caller must not be told that the job never runs. */
Test(CallerDrain, anUnansweredAppendIsReportedAsUnknownBeforeTheExit)
{
    DrainFixture fixture;
    fixture.runTo(exitAt - milliseconds(1300));
    fixture.send(CallerRequestKind::Submit);
    fixture.runTo(exitAt - milliseconds(300));
    cr_assert(fixture.answer.has_value());
    cr_assert(fixture.answer->outcome == CallerOutcome::Unknown);
    fixture.log.deliver();
    cr_assert_eq(fixture.answers, 1);
}

Test(CallerDrain, aSubmissionWhoseAppendsWereAllRefusedIsRefusedBeforeTheExit)
{
    DrainFixture fixture;
    fixture.log.up = false;
    fixture.log.refusesAppends = true;
    fixture.storeAnswers = true;
    fixture.runTo(exitAt - milliseconds(1300));
    fixture.send(CallerRequestKind::Submit);
    fixture.runTo(exitAt - milliseconds(300));
    cr_assert(fixture.answer.has_value());
    cr_assert(fixture.answer->outcome == CallerOutcome::Refused);
    cr_assert(fixture.answer->retryAfter == milliseconds(0), "another node serves it at once");
}

Test(CallerDrain, aQuestionThatTheOwnerDoesNotAnswerIsAnsweredBeforeTheExit)
{
    for (const std::string path : { jobPath, "/q/" }) {
        DrainFixture fixture;
        fixture.runTo(exitAt - milliseconds(1300));
        fixture.send(CallerRequestKind::Query, path);
        fixture.runTo(exitAt - milliseconds(300));
        cr_assert(fixture.answer.has_value());
        cr_assert(fixture.answer->outcome == CallerOutcome::Refused);
        fixture.owner.answerUnanswered();
        fixture.log.deliver();
        cr_assert_eq(fixture.answers, 1);
    }
}

/* The caller was told that the cancellation is refused, so it must not be recorded afterwards. */
Test(CallerDrain, aRefusedCancellationIsNotRecordedLater)
{
    DrainFixture fixture;
    fixture.runTo(exitAt - milliseconds(1300));
    fixture.send(CallerRequestKind::Cancel);
    fixture.runTo(exitAt - milliseconds(300));
    cr_assert(fixture.answer->outcome == CallerOutcome::Refused);
    fixture.owner.answer = { OwnerAnswer::Kind::Known, JobState::Running, 0 };
    fixture.owner.answerUnanswered();
    cr_assert(fixture.log.streams[LogStream::Jobs].empty());
}

/* Requests that the store answers at once were refused for more than a second. */
Test(CallerDrain, requestsAreServedWhileThereIsTime)
{
    DrainFixture fixture;
    fixture.runTo(exitAt - milliseconds(800));
    fixture.send(CallerRequestKind::Submit);
    fixture.log.deliver();
    cr_assert(fixture.answer->outcome == CallerOutcome::Accepted);
}

/* A request arrives between the decision to stop and the end of the loop: it must not be taken. */
Test(CallerDrain, aStopIsNotTakenBackByALateRequest)
{
    DrainFixture fixture;
    fixture.handler.drain(DrainStep::Stop);
    fixture.handler.drain(DrainStep::Serve);
    fixture.send(CallerRequestKind::Submit);
    cr_assert(fixture.answer.has_value());
    cr_assert(fixture.answer->outcome == CallerOutcome::Refused);
    cr_assert(fixture.log.streams[LogStream::Jobs].empty());
}
