#include "FakeCallers.h"
#include "RawCaller.h"
#include "bulrush_core/time/ManualClock.h"
#include "bulrush_entry/node/EntryNode.h"
#include "bulrush_steps/tests/FakeWorkers.h"

#include <criterion/criterion.h>

#include <list>
#include <optional>
#include <string>
#include <thread>

using namespace bulrush;
using namespace bulrush::test;

namespace {

/** A log that can leave calls unanswered. */
class HoldingLog : public FakeLog
{
public:
    void append(LogStream stream, const std::vector<KeyedRecord> &records,
                const std::optional<WriterMark> &mark, Duration timeout,
                std::function<void(AppendAnswer)> callback) override
    {
        ++this->appends;
        if (!this->holdsAppends) {
            this->FakeLog::append(stream, records, mark, timeout, std::move(callback));
        }
    }

    void read(LogStream stream, LogOffset from, milliseconds wait, Duration timeout,
              std::function<void(ReadResult)> callback) override
    {
        if (!this->holdsReads) {
            this->FakeLog::read(stream, from, wait, timeout, std::move(callback));
        }
    }

    void newest(LogStream stream, std::string_view afterKey, Duration timeout,
                std::function<void(NewestResult)> callback) override
    {
        if (!this->holdsReads) {
            this->FakeLog::newest(stream, afterKey, timeout, std::move(callback));
        }
    }

    bool holdsAppends = false;
    bool holdsReads = false;
    int appends = 0;
};

/** A group that never answers, so that the node knows no owner. */
class SilentGroup : public MemberGroup
{
public:
    void join(const std::string & /*member*/, std::uint64_t /*generation*/,
              milliseconds /*timeToLive*/, Duration /*timeout*/,
              std::function<void(Membership)> /*callback*/) override
    {
    }
    void leave(const std::string & /*member*/, Duration /*timeout*/,
               std::function<void(StoreOutcome)> /*callback*/) override
    {
    }
    void findHolder(Duration /*timeout*/,
                    std::function<void(PartitionHolder)> /*callback*/) override
    {
        ++this->searches;
    }

    int searches = 0;
};

/** A node on ports of its own, on a clock that the test advances. */
class NodeFixture
{
public:
    explicit NodeFixture(std::uint16_t firstPort, milliseconds gracePeriod = shortGrace)
        : port(firstPort)
        , decisions("node", clock)
        , workers(clock)
    {
        EntrySettings settings;
        settings.node = NodeId("node");
        settings.callers = { "127.0.0.1", firstPort };
        settings.readiness = { "127.0.0.1", static_cast<std::uint16_t>(firstPort + 1) };
        settings.peers = { "127.0.0.1", static_cast<std::uint16_t>(firstPort + 2) };
        settings.operators = { "127.0.0.1", static_cast<std::uint16_t>(firstPort + 3) };
        settings.gracePeriod = gracePeriod;
        this->log.streams[LogStream::Configuration].push_back({ "config", "{}", 0 });
        this->loop.emplace();
        this->node.emplace(*this->loop, this->clock, settings,
                           EntryPorts { this->log, this->group, this->workers, nullptr,
                                        this->decoder, this->protocol },
                           this->decisions);
        this->waitUntilReady();
    }

    /** Services the loop until the condition holds. @returns whether it held in time */
    template<class Condition>
    bool runUntil(Condition condition)
    {
        bool timeUp = false;
        const auto timer = this->loop->schedule(patience, [&timeUp] { timeUp = true; });
        while (!condition() && !timeUp) {
            this->loop->runOnce();
            this->log.deliver();
        }
        this->loop->cancel(timer);
        return condition();
    }

    bool answered(RawCaller &caller)
    {
        return this->runUntil([&caller] {
            caller.read();
            return caller.status() != 0;
        });
    }

    /** Advances the clock to a time after the node was told to stop. */
    void advanceTo(Duration sinceDrain)
    {
        this->clock.advance(this->drainedAt + sinceDrain - this->clock.now());
    }

    void drain()
    {
        this->drainedAt = this->clock.now();
        this->node->drain();
    }

    /** Has the node's next tick precede the sockets in the next pass of the loop. */
    void letTickBecomeDue() { std::this_thread::sleep_for(milliseconds(100)); }

    /** Runs the loop until the node stops it, then closes all sockets like an exit does. */
    void runToExit()
    {
        this->loop->schedule(patience, [this] { this->loop->stop(); });
        this->loop->run();
        this->node.reset();
        this->loop.reset();
    }

    static constexpr milliseconds shortGrace { 2000 };
    /** When the loop of a node with the short grace period ends, if requests arrive to the last. */
    static constexpr milliseconds stopAfter { 1300 };
    /** Bounds the duration of a test that fails. */
    static constexpr seconds patience { 10 };

    const std::uint16_t port;
    ManualClock clock;
    JsonDecisionLog decisions;
    HoldingLog log;
    SilentGroup group;
    FakeWorkers workers;
    FakeDecoder decoder;
    FakeProtocol protocol;
    std::optional<EventLoop> loop;
    std::optional<EntryNode> node;
    Instant drainedAt {};

private:
    void waitUntilReady()
    {
        int status = 0;
        while (status != 200) {
            RawCaller caller(static_cast<std::uint16_t>(this->port + 1), "GET",
                             FakeProtocol::readinessPath);
            this->runUntil([&caller, &status] {
                caller.read();
                status = caller.status();
                return status != 0;
            });
        }
    }
};

} // namespace

/* An append is unanswered when the process has to end: its caller was told nothing. */
Test(EntryNodeDrain, anUnansweredSubmissionIsAnsweredBeforeTheExit)
{
    NodeFixture fixture(18401);
    fixture.log.holdsAppends = true;
    fixture.drain();
    RawCaller caller(fixture.port, "POST", jobPath);
    cr_assert(fixture.runUntil([&fixture] { return fixture.log.appends > 0; }));
    fixture.advanceTo(NodeFixture::stopAfter - milliseconds(100));
    cr_assert(fixture.answered(caller), "no answer before the exit");
    cr_assert_eq(caller.status(), FakeProtocol::statusOf(CallerOutcome::Unknown));
}

namespace {

void submitShortlyBeforeTheExit(std::uint16_t firstPort, milliseconds beforeExit)
{
    NodeFixture fixture(firstPort);
    fixture.log.holdsAppends = true;
    fixture.drain();
    fixture.advanceTo(NodeFixture::stopAfter - beforeExit);
    RawCaller caller(fixture.port, "POST", jobPath);
    cr_assert(fixture.answered(caller), "no answer");
    fixture.runToExit();
    caller.read();
    cr_assert(caller.closed());
}

} // namespace

/* The answers to these requests would not be ready before the exit. */
Test(EntryNodeDrain, aSubmission600MsBeforeTheExitIsAnswered)
{
    submitShortlyBeforeTheExit(18411, milliseconds(600));
}

Test(EntryNodeDrain, aSubmission300MsBeforeTheExitIsAnswered)
{
    submitShortlyBeforeTheExit(18421, milliseconds(300));
}

Test(EntryNodeDrain, aSubmission100MsBeforeTheExitIsAnswered)
{
    submitShortlyBeforeTheExit(18431, milliseconds(100));
}

/* The owner does not answer: the state was looked for until the process had ended. */
Test(EntryNodeDrain, aStateQuestionIsAnsweredBeforeTheExit)
{
    NodeFixture fixture(18441);
    fixture.log.holdsReads = true;
    fixture.drain();
    RawCaller caller(fixture.port, "GET", jobPath);
    cr_assert(fixture.runUntil([&fixture] { return fixture.group.searches > 0; }));
    fixture.advanceTo(NodeFixture::stopAfter - milliseconds(100));
    cr_assert(fixture.answered(caller), "no answer before the exit");
    cr_assert_eq(caller.status(), FakeProtocol::statusOf(CallerOutcome::Refused));
}

/* The process did not run for a while, and its time was over when it went on. */
Test(EntryNodeDrain, aNodeThatWasHeldUpAnswersBeforeItStops)
{
    NodeFixture fixture(18471);
    fixture.log.holdsAppends = true;
    fixture.drain();
    RawCaller caller(fixture.port, "POST", jobPath);
    cr_assert(fixture.runUntil([&fixture] { return fixture.log.appends > 0; }));
    fixture.advanceTo(NodeFixture::stopAfter + milliseconds(300));
    fixture.runToExit();
    caller.read();
    cr_assert_eq(caller.status(), FakeProtocol::statusOf(CallerOutcome::Unknown));
}

/* The last open request is answered in the tick in which the node finds itself idle: the loop
   stopped before the answer was written. */
Test(EntryNodeDrain, anAnswerIsWrittenBeforeAnIdleNodeStops)
{
    NodeFixture fixture(18451, seconds(6));
    fixture.log.holdsAppends = true;
    fixture.drain();
    RawCaller caller(fixture.port, "POST", jobPath);
    cr_assert(fixture.runUntil([&fixture] { return fixture.log.appends > 0; }));
    // The caller's time limit is over, and the node is out of rotation.
    fixture.advanceTo(seconds(3));
    fixture.runToExit();
    caller.read();
    cr_assert_eq(caller.status(), FakeProtocol::statusOf(CallerOutcome::Unknown));
}

/* Two requests were on their way to a node that held itself for idle. They were read in the pass in
   which the loop ended, and their connections were closed in the middle of the answers. */
Test(EntryNodeDrain, requestsThatArriveWhileAnIdleNodeStopsAreAnswered)
{
    NodeFixture fixture(18491, seconds(6));
    fixture.drain();
    fixture.advanceTo(seconds(4));
    fixture.letTickBecomeDue();
    RawCaller first(fixture.port, "POST", jobPath);
    RawCaller second(fixture.port, "GET", jobPath);
    fixture.runToExit();
    first.read();
    second.read();
    cr_assert_eq(first.status(), FakeProtocol::statusOf(CallerOutcome::Refused));
    cr_assert_eq(second.status(), FakeProtocol::statusOf(CallerOutcome::Refused));
}

/* The same with a connection that the caller had kept open. */
Test(EntryNodeDrain, aRequestOnAnOpenConnectionIsAnsweredWhileTheNodeStops)
{
    NodeFixture fixture(18551, seconds(6));
    RawCaller caller(fixture.port, "POST", jobPath);
    cr_assert(fixture.answered(caller));
    fixture.drain();
    fixture.advanceTo(seconds(4));
    fixture.letTickBecomeDue();
    caller.sendAgain();
    fixture.runToExit();
    caller.read();
    cr_assert_eq(caller.status(), FakeProtocol::statusOf(CallerOutcome::Refused));
}

namespace {

/** A request for submission whose body has two bytes, without its last byte. */
std::string unfinishedSubmission()
{
    return std::string("POST ") + jobPath + " HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{";
}

constexpr milliseconds grace { 6000 };
/** Latest end of a process with this grace period. */
constexpr milliseconds latestEnd { 5700 };

} // namespace

/* The rest of a body comes after the node has found itself idle and begun to end. */
Test(EntryNodeDrain, aBodyThatArrivesInTwoPiecesWhileAnIdleNodeStopsIsAnswered)
{
    NodeFixture fixture(18561, grace);
    fixture.drain();
    fixture.advanceTo(seconds(4));
    fixture.letTickBecomeDue();
    RawCaller caller(fixture.port);
    caller.send(unfinishedSubmission());
    fixture.loop->schedule(milliseconds(150), [&caller] { caller.send("}"); });
    fixture.runToExit();
    caller.read();
    cr_assert_eq(caller.status(), FakeProtocol::statusOf(CallerOutcome::Refused));
}

/* Requests that arrive in each pass must not keep the process until it is killed. */
Test(EntryNodeDrain, requestsInEachPassDoNotKeepTheProcess)
{
    NodeFixture fixture(18591, grace);
    fixture.drain();
    fixture.advanceTo(seconds(4));
    fixture.letTickBecomeDue();
    std::list<RawCaller> callers;
    fixture.loop->scheduleEvery(microseconds(1), [&fixture, &callers] {
        fixture.clock.advance(milliseconds(5));
        callers.emplace_back(fixture.port, "POST", jobPath);
    });
    fixture.runToExit();
    cr_assert_gt(callers.size(), 100U);
    cr_assert_geq(fixture.clock.now() - fixture.drainedAt, latestEnd);
    cr_assert_lt(fixture.clock.now() - fixture.drainedAt, latestEnd + milliseconds(100));
}

/* Requests came until the end of the grace period, and one more in the last pass. */
Test(EntryNodeDrain, aRequestAtTheEndOfTheGracePeriodIsAnswered)
{
    NodeFixture fixture(18621, grace);
    RawCaller kept(fixture.port, "POST", jobPath);
    cr_assert(fixture.answered(kept));
    fixture.drain();
    for (int second = 1; second <= 5; ++second) {
        fixture.advanceTo(seconds(second));
        RawCaller earlier(fixture.port, "POST", jobPath);
        cr_assert(fixture.answered(earlier), "the node has found itself idle");
    }
    fixture.advanceTo(latestEnd - milliseconds(350));
    fixture.letTickBecomeDue();
    RawCaller caller(fixture.port, "POST", jobPath);
    kept.sendAgain();
    fixture.runToExit();
    caller.read();
    kept.read();
    cr_assert_eq(caller.status(), FakeProtocol::statusOf(CallerOutcome::Refused));
    cr_assert_eq(kept.status(), FakeProtocol::statusOf(CallerOutcome::Refused));
}

/* A caller that keeps its connection goes on sending requests to a node that ends. */
Test(EntryNodeDrain, anAnswerClosesItsConnection)
{
    NodeFixture fixture(18461);
    fixture.drain();
    RawCaller caller(fixture.port, "POST", jobPath);
    cr_assert(fixture.answered(caller));
    cr_assert_eq(caller.status(), FakeProtocol::statusOf(CallerOutcome::Accepted));
    cr_assert(fixture.runUntil([&caller] {
        caller.read();
        return caller.closed();
    }),
              "the connection stays open");
}

/* The server for readiness checks was told to answer a request that the callers' server had, and
   the other way round: neither was answered, and a stopping node waited for them to the last. */
Test(EntryNodeDrain, aRequestAtTheWrongPortIsAnswered)
{
    NodeFixture fixture(18481);
    RawCaller check(fixture.port, "GET", FakeProtocol::readinessPath);
    cr_assert(fixture.answered(check), "no answer at the callers' port");
    RawCaller caller(static_cast<std::uint16_t>(fixture.port + 1), "POST", jobPath);
    cr_assert(fixture.answered(caller), "no answer at the readiness port");
    cr_assert_eq(caller.status(), 404);
    cr_assert_eq(fixture.log.appends, 0);
}
