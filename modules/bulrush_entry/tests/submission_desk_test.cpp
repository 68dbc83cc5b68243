#include "bulrush_entry/front/SubmissionDesk.h"
#include "bulrush_steps/tests/FakeWorkers.h"

#include <criterion/criterion.h>

using namespace bulrush;
using namespace bulrush::test;

namespace {

/** Takes any body but "bad" as a job of one task. */
class FakeDecoder : public RecordDecoder
{
public:
    bool isServingConfig(std::string_view /*key*/) const override { return true; }
    ServingConfig servingConfig(std::string_view /*value*/) const override { return {}; }
    WorkerEntry workerEntry(std::string_view /*key*/, std::string_view /*value*/) const override
    {
        return {};
    }
    StepJob submission(std::string_view body) const override
    {
        if (body == "bad") {
            throw Error("decode", "phases", "is missing");
        }
        StepJob job;
        job.steps.resize(1);
        return job;
    }
};

class FakeOwner : public OwnerQuestions
{
public:
    void askState(const JobId & /*job*/, Callback callback) override { callback(this->answer); }
    void askWaiting(const std::string & /*queue*/, Callback callback) override
    {
        callback(this->answer);
    }

    OwnerAnswer answer;
};

constexpr const char *path = "/q/0123456789abcdef";

class DeskBench
{
public:
    DeskBench()
        : health(clock, decisions)
        , view(clock, log, decisions)
        , desk(clock, log, decoder, owner, view, health, decisions)
    {
        ServingConfig config;
        QueuePolicy queue;
        queue.name = "q";
        queue.host = "h";
        queue.prefix = "/q/";
        queue.service = ServiceId("s");
        config.queues = { queue };
        this->desk.configure(config);
    }

    std::optional<CallerAnswer> ask(CallerWish wish, const std::string &where,
                                    const std::string &body = "{}")
    {
        this->told.reset();
        CallerRequest request;
        request.wish = wish;
        request.host = "h";
        request.path = where;
        request.body = body;
        request.timeLimit = milliseconds(3000);
        this->desk.serve(request, [this](const CallerAnswer &answer) { this->told = answer; });
        this->log.deliver();
        this->log.deliver();
        this->log.deliver();
        return this->told;
    }

    void run(milliseconds span)
    {
        for (milliseconds passed { 0 }; passed < span; passed += milliseconds(20)) {
            this->clock.advance(milliseconds(20));
            this->desk.tick();
            this->log.deliver();
        }
    }

    PausableClock clock;
    NoDecisionLog decisions;
    FakeLog log;
    FakeDecoder decoder;
    FakeOwner owner;
    StoreHealth health;
    RecordsView view;
    std::optional<CallerAnswer> told;
    SubmissionDesk desk;
};

} // namespace

Test(SubmissionDesk, acceptsOnlyWhatIsOnRecord)
{
    DeskBench bench;
    cr_assert(bench.ask(CallerWish::Submit, path)->outcome == CallerOutcome::Accepted);
    cr_assert_neq(bench.log.newestValue(LogStream::Jobs, "job/0123456789abcdef"), "");
}

Test(SubmissionDesk, refusesMalformedRequestsAndUnknownQueues)
{
    DeskBench bench;
    cr_assert(bench.ask(CallerWish::Submit, path, "bad")->outcome == CallerOutcome::Malformed);
    cr_assert(bench.ask(CallerWish::Submit, "/q/short")->outcome == CallerOutcome::Malformed);
    cr_assert(bench.ask(CallerWish::Submit, "/x/1")->outcome == CallerOutcome::NoSuchQueue);
    cr_assert(bench.log.streams[LogStream::Jobs].empty());
}

/* The append took effect and its answer was lost: a refusal would be untrue. */
Test(SubmissionDesk, anAppendWithoutAnAnswerIsNeverRefused)
{
    DeskBench bench;
    bench.log.losesAnswers = true;
    cr_assert_not(bench.ask(CallerWish::Submit, path).has_value());
    bench.log.up = false;
    bench.log.refuses = true;
    bench.log.losesAnswers = false;
    bench.run(seconds(4));
    cr_assert(bench.told->outcome == CallerOutcome::Unknown);
}

Test(SubmissionDesk, aRepeatedAppendSettlesALostAnswer)
{
    DeskBench bench;
    bench.log.losesAnswers = true;
    bench.ask(CallerWish::Submit, path);
    bench.log.losesAnswers = false;
    bench.run(milliseconds(500));
    cr_assert(bench.told->outcome == CallerOutcome::Accepted);
}

Test(SubmissionDesk, whatTheStoreRefusedEachTimeIsRefusedTruly)
{
    DeskBench bench;
    bench.log.up = false;
    bench.log.refuses = true;
    bench.ask(CallerWish::Submit, path);
    bench.run(seconds(4));
    cr_assert(bench.told->outcome == CallerOutcome::Refused);
    cr_assert(bench.told->retryAfter.has_value());
    cr_assert(bench.log.streams[LogStream::Jobs].empty());
}

/* Known not to be servable: refused at once, not held until its time limit. */
Test(SubmissionDesk, refusesAtOnceWhileTheStoreIsLost)
{
    DeskBench bench;
    bench.clock.advance(seconds(3));
    const std::optional<CallerAnswer> answer = bench.ask(CallerWish::Submit, path);
    cr_assert(answer->outcome == CallerOutcome::Refused);
    cr_assert(answer->retryAfter.has_value());
    cr_assert(bench.log.streams[LogStream::Jobs].empty());
}

/* Accepted a moment ago at another node, and the owner has not read it yet. */
Test(SubmissionDesk, aJobThatTheOwnerDoesNotKnowIsLookedUpOnRecord)
{
    DeskBench bench;
    bench.ask(CallerWish::Submit, path);
    bench.owner.answer.kind = OwnerAnswer::Kind::NotKnown;
    cr_assert(bench.ask(CallerWish::Query, path)->outcome == CallerOutcome::State);
    cr_assert(bench.ask(CallerWish::Query, "/q/ffffffffffffffff")->outcome
              == CallerOutcome::NoSuchJob);
}

Test(SubmissionDesk, withoutOwnerAndStoreNoJobIsDenied)
{
    DeskBench bench;
    bench.ask(CallerWish::Submit, path);
    bench.log.up = false;
    cr_assert(bench.ask(CallerWish::Query, path)->outcome == CallerOutcome::Refused);
}

Test(SubmissionDesk, aCancellationIsAnsweredWhenItIsOnRecord)
{
    DeskBench bench;
    bench.ask(CallerWish::Submit, path);
    bench.owner.answer = { OwnerAnswer::Kind::Known, JobState::Running, 0 };
    cr_assert(bench.ask(CallerWish::Cancel, path)->outcome == CallerOutcome::Cancelled);
    cr_assert_neq(bench.log.newestValue(LogStream::Jobs, "cancelled/0123456789abcdef"), "");
    cr_assert(bench.ask(CallerWish::Cancel, "/q/ffffffffffffffff")->outcome
              == CallerOutcome::Cancelled);
}

Test(SubmissionDesk, countsWaitingJobsWithoutAnOwner)
{
    DeskBench bench;
    bench.ask(CallerWish::Submit, path);
    const std::optional<CallerAnswer> answer = bench.ask(CallerWish::CountWaiting, "/q/");
    cr_assert(bench.ask(CallerWish::Query, "/q/")->outcome == CallerOutcome::Waiting);
    cr_assert_eq(bench.told->waiting, 1U);
    cr_assert(answer->outcome == CallerOutcome::Malformed, "only a query counts");
}
