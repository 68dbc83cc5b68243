#include "FakeWorkers.h"

#include "bulrush_core/errors/Error.h"
#include "bulrush_steps/follow/ConfigFollower.h"
#include "bulrush_steps/follow/StreamReader.h"
#include "bulrush_steps/follow/WorkerFollower.h"

#include <criterion/criterion.h>

#include <set>
#include <string>
#include <vector>

using namespace bulrush;
using namespace bulrush::test;

namespace {

/** Reads entries whose value is "ready", and configurations whose value is a version number. */
class PlainDecoder : public RecordDecoder
{
public:
    bool isServingConfig(std::string_view key) const override { return key == "config"; }

    ServingConfig servingConfig(std::string_view value) const override
    {
        ServingConfig config;
        config.version = std::stoull(std::string(value));
        return config;
    }

    WorkerEntry workerEntry(std::string_view key, std::string_view value) const override
    {
        if (value != "ready") {
            throw Error("decode entry", std::string(key), "malformed");
        }
        WorkerEntry entry;
        entry.worker = TargetId(key);
        return entry;
    }

    bool isEvacuationRequest(std::string_view key) const override
    {
        return key.starts_with("evacuate/");
    }

    DataCentreId evacuatedDataCentre(std::string_view key) const override
    {
        const std::string_view name = key.substr(std::string_view("evacuate/").size());
        if (name.empty()) {
            throw Error("decode", std::string(key), "names no data centre");
        }
        return DataCentreId(name);
    }

    StepJob submission(std::string_view /*body*/) const override { return {}; }
};

/** Interval at which workers write their entries. */
constexpr milliseconds heartbeat { 1100 };

/** A log with a follower of its list of workers. Each follower stands for one run of a process. */
class WorkerList : public WorkerFollower::Listener
{
public:
    explicit WorkerList(FakeLog &listedLog)
        : log(listedLog)
        , follower(clock, listedLog, decoder, heartbeat, decisions, *this)
    {
    }

    void workerListed(const WorkerEntry &entry) override { this->listed.insert(entry.worker); }
    void workerUnlisted(const TargetId &worker, RemovalCause cause) override
    {
        this->listed.erase(worker);
        this->causes[worker] = cause;
    }

    void read(milliseconds span = seconds(1))
    {
        for (milliseconds passed { 0 }; passed < span; passed += milliseconds(10)) {
            this->clock.advance(milliseconds(10));
            this->follower.tick();
            this->log.deliver();
        }
    }

    std::set<TargetId> listed;
    std::map<TargetId, RemovalCause> causes;
    ManualClock clock;
    FakeLog &log;
    NullDecisionLog decisions;
    PlainDecoder decoder;
    WorkerFollower follower;
};

void write(FakeLog &log, LogStream stream, const std::string &key, const std::string &value)
{
    log.streams[stream].push_back({ key, value, 0 });
}

} // namespace

/* A server leaves while the node that orders it is down. Its old entry is still in the log's
   history; the restarted node must not use the server again. */
Test(WorkerFollower, aServerThatLeftIsNotUsedAfterARestart)
{
    FakeLog log;
    for (const char *name : { "w1", "w2", "w3" }) {
        write(log, LogStream::Workers, name, "ready");
    }
    {
        WorkerList before(log);
        before.read();
        cr_assert_eq(before.listed.size(), 3U);
    }
    write(log, LogStream::Workers, "w2", "");
    WorkerList after(log);
    after.read();
    cr_assert(after.listed == std::set<TargetId>({ TargetId("w1"), TargetId("w3") }));
}

/* A server leaves while the history is trimmed, so no record says so: the node reads the newest
   records again, and the server is not among them. */
Test(WorkerFollower, aServerThatLeftWhileTheHistoryWasTrimmedIsUnlisted)
{
    FakeLog log;
    write(log, LogStream::Workers, "w1", "ready");
    write(log, LogStream::Workers, "w2", "ready");
    WorkerList list(log);
    list.read();
    cr_assert_eq(list.listed.size(), 2U);
    write(log, LogStream::Workers, "w1", "");
    log.firstRetained = log.streams[LogStream::Workers].size();
    write(log, LogStream::Workers, "w3", "ready");
    list.read();
    cr_assert(list.listed == std::set<TargetId>({ TargetId("w2"), TargetId("w3") }));
}

namespace {

/** Has a worker write an entry, and returns why the entry counts as removed when it goes after a
    time, during which the log is read or cannot be read. */
RemovalCause causeOfRemovalAfter(milliseconds sinceHeartbeat, bool logUp)
{
    FakeLog log;
    write(log, LogStream::Workers, "w1", "ready");
    WorkerList list(log);
    list.read();
    write(log, LogStream::Workers, "w1", "ready");
    list.read(milliseconds(500));
    log.up = logUp;
    list.read(sinceHeartbeat - milliseconds(500));
    write(log, LogStream::Workers, "w1", "");
    log.up = true;
    list.read();
    return list.causes.at(TargetId("w1"));
}

} // namespace

Test(WorkerFollower, onlyARemovalSoonAfterAHeartbeatIsTheWorkersOwn)
{
    cr_assert(causeOfRemovalAfter(milliseconds(1000), true) == RemovalCause::Deregistered);
    cr_assert(causeOfRemovalAfter(heartbeat * 3, true) == RemovalCause::Unknown);
}

/* The last heartbeat and the removal by silence are read together. */
Test(WorkerFollower, aRemovalThatMayHaveWaitedToBeReadIsNotTheWorkersOwn)
{
    FakeLog log;
    write(log, LogStream::Workers, "w1", "ready");
    WorkerList list(log);
    list.read();
    log.up = false;
    write(log, LogStream::Workers, "w1", "ready");
    list.read(heartbeat * 3);
    write(log, LogStream::Workers, "w1", "");
    log.up = true;
    list.read();
    cr_assert(list.causes.at(TargetId("w1")) == RemovalCause::Unknown);
}

/* Reads have fallen behind, so each returns what was written long before it was sent. */
Test(WorkerFollower, aRemovalThatIsReadLongAfterItWasWrittenIsNotTheWorkersOwn)
{
    FakeLog log;
    write(log, LogStream::Workers, "w1", "ready");
    WorkerList list(log);
    list.read();
    log.recordsPerRead = 1;
    log.up = false;
    write(log, LogStream::Workers, "w2", "ready");
    write(log, LogStream::Workers, "w1", "ready");
    list.read(heartbeat * 3);
    write(log, LogStream::Workers, "w1", "");
    log.up = true;
    list.read();
    cr_assert(list.causes.at(TargetId("w1")) == RemovalCause::Unknown);
}

/* The process is paused between a read and its answer, and the last heartbeat was written just
   after that read. */
Test(WorkerFollower, aHeartbeatMayBeAsOldAsTheReadBeforeTheOneThatBroughtIt)
{
    FakeLog log;
    write(log, LogStream::Workers, "w1", "ready");
    WorkerList list(log);
    list.read();
    list.clock.advance(seconds(1));
    list.follower.tick();
    write(log, LogStream::Workers, "w1", "ready");
    list.clock.advance(heartbeat * 3);
    write(log, LogStream::Workers, "w1", "");
    log.deliver();
    list.read();
    cr_assert(list.causes.at(TargetId("w1")) == RemovalCause::Unknown);
}

/* The history is trimmed, so the last heartbeat is read again, long after it was written. */
Test(WorkerFollower, aRemovalAfterAHeartbeatWasReadAgainIsNotTheWorkersOwn)
{
    FakeLog log;
    write(log, LogStream::Workers, "w1", "ready");
    WorkerList list(log);
    list.read();
    list.read(heartbeat * 3);
    log.firstRetained = log.streams[LogStream::Workers].size() + 1;
    write(log, LogStream::Workers, "w2", "ready");
    write(log, LogStream::Workers, "w2", "ready");
    list.read(milliseconds(300));
    log.firstRetained = 0;
    write(log, LogStream::Workers, "w1", "");
    list.read(milliseconds(500));
    cr_assert(list.causes.at(TargetId("w1")) == RemovalCause::Unknown);
}

/* The newest records do not tell when an entry was written. */
Test(WorkerFollower, aRemovalAfterTheNewestRecordsWereReadIsNotTheWorkersOwn)
{
    FakeLog log;
    write(log, LogStream::Workers, "w1", "ready");
    WorkerList list(log);
    list.read(milliseconds(300));
    write(log, LogStream::Workers, "w1", "");
    list.read();
    cr_assert(list.causes.at(TargetId("w1")) == RemovalCause::Unknown);
}

/* One writer's malformed entry must not end the process or hide the entries after it. */
Test(WorkerFollower, aMalformedEntryHidesNoOther)
{
    FakeLog log;
    write(log, LogStream::Workers, "w1", "{{{");
    write(log, LogStream::Workers, "w2", "ready");
    WorkerList list(log);
    list.read();
    cr_assert(list.listed == std::set<TargetId>({ TargetId("w2") }));
}

/* The newest entry names no worker to use, so the one before it must not stay in use. Another
   writer's entry tells nothing of the worker's end either. */
Test(WorkerFollower, aMalformedEntryUnderAGoodWorkersKeyUnlistsTheWorkerForNoKnownCause)
{
    FakeLog log;
    write(log, LogStream::Workers, "w1", "ready");
    write(log, LogStream::Workers, "w2", "ready");
    WorkerList list(log);
    list.read();
    write(log, LogStream::Workers, "w1", "{{{");
    list.read();
    cr_assert(list.listed == std::set<TargetId>({ TargetId("w2") }));
    cr_assert(list.causes.at(TargetId("w1")) == RemovalCause::Unknown);
    list.causes.clear();
    write(log, LogStream::Workers, "w1", "");
    list.read();
    cr_assert(list.causes.empty(),
              "the removal of a malformed entry was taken for the worker's own");
    write(log, LogStream::Workers, "w1", "ready");
    list.read();
    cr_assert(list.listed.contains(TargetId("w1")));
}

/* The malformed entry is read with the newest records, after the history was trimmed. */
Test(WorkerFollower, aMalformedEntryAmongTheNewestRecordsUnlistsItsWorker)
{
    FakeLog log;
    write(log, LogStream::Workers, "w1", "ready");
    write(log, LogStream::Workers, "w2", "ready");
    WorkerList list(log);
    list.read();
    write(log, LogStream::Workers, "w1", "{{{");
    log.firstRetained = log.streams[LogStream::Workers].size();
    write(log, LogStream::Workers, "w3", "ready");
    list.read();
    cr_assert(list.listed == std::set<TargetId>({ TargetId("w2"), TargetId("w3") }));
    cr_assert(list.causes.at(TargetId("w1")) == RemovalCause::Unknown);
}

/* A node gains ownership while it reads a page of the list. Reading on after that page would leave
   out the workers before it. */
Test(WorkerFollower, aListThatIsReadAgainAmidAPageHoldsAllWorkers)
{
    FakeLog log;
    for (const char *name : { "w1", "w2", "w3", "w4", "w5" }) {
        write(log, LogStream::Workers, name, "ready");
    }
    WorkerList list(log);
    list.follower.tick();
    log.deliver();
    list.listed.clear();
    list.follower.restart();
    list.read();
    cr_assert_eq(list.listed.size(), 5U);
}

namespace {

/** Keeps the keys that a StreamReader delivers, and counts its callbacks. */
class ReadKeys : private StreamReader::Listener
{
public:
    explicit ReadKeys(FakeLog &log)
        : reader(log, LogStream::Jobs, *this)
    {
    }

    void advance()
    {
        this->reader.advance(milliseconds(0), [this](StoreOutcome /*outcome*/) { ++this->ended; });
    }

    StreamReader reader;
    std::vector<std::string> keys;
    int ended = 0;

private:
    void snapshotReadStarted(LogStream /*stream*/) override { this->keys.clear(); }
    void recordRead(LogStream /*stream*/, const KeyedRecord &record) override
    {
        this->keys.push_back(record.key);
    }
    void snapshotReadCompleted(LogStream /*stream*/) override { }
};

} // namespace

/* The answer to a call from before startAt() must not move the offset or deliver its records. */
Test(StreamReader, aLateAnswerLeavesAChosenOffsetAlone)
{
    FakeLog log;
    for (const char *key : { "a", "b", "c", "d" }) {
        write(log, LogStream::Jobs, key, "value");
    }
    ReadKeys read(log);
    read.reader.startAt(0);
    read.advance();
    read.reader.startAt(2);
    log.deliver();
    cr_assert(!read.reader.busy());
    cr_assert(!read.reader.caughtUp());
    cr_assert_eq(read.ended, 1);
    read.advance();
    log.deliver();
    cr_assert(read.keys == std::vector<std::string>({ "c", "d" }));
    cr_assert(read.reader.caughtUp());
}

/* The late answer says that the old offset is trimmed, which does not apply to the new one. */
Test(StreamReader, aLateAnswerThatTheOffsetIsTrimmedRestartsNothing)
{
    FakeLog log;
    for (const char *key : { "a", "b", "c" }) {
        write(log, LogStream::Jobs, key, "value");
    }
    log.firstRetained = 1;
    ReadKeys read(log);
    read.reader.startAt(0);
    read.advance();
    read.reader.startAt(2);
    log.deliver();
    cr_assert(!read.reader.busy());
    cr_assert_eq(read.ended, 1);
    read.advance();
    log.deliver();
    cr_assert(read.keys == std::vector<std::string>({ "c" }));
}

/* A call from before a restart that fails must still end. */
Test(StreamReader, aCallFromBeforeARestartThatFailsEnds)
{
    FakeLog log;
    log.up = false;
    ReadKeys read(log);
    read.advance();
    read.reader.restart();
    log.deliver();
    cr_assert(!read.reader.busy());
    cr_assert_eq(read.ended, 1);
}

/* A queue was withdrawn by a newer configuration. Neither a restart nor a late copy of the older
   record may bring the older one back. */
Test(ConfigFollower, aWithdrawnConfigurationIsNotInForceAgain)
{
    FakeLog log;
    write(log, LogStream::Configuration, "config", "4");
    write(log, LogStream::Configuration, "config", "9");
    for (int run = 0; run < 2; ++run) {
        ManualClock clock;
        NullDecisionLog decisions;
        PlainDecoder decoder;
        ConfigFollower follower(clock, log, decoder, decisions, milliseconds(10), [] {});
        const auto read = [&] {
            for (int tick = 0; tick < 20; ++tick) {
                clock.advance(milliseconds(10));
                follower.tick();
                log.deliver();
            }
        };
        read();
        cr_assert_eq(follower.config()->version, 9U);
        write(log, LogStream::Configuration, "config", "4");
        read();
        cr_assert_eq(follower.config()->version, 9U);
        log.streams[LogStream::Configuration].pop_back();
    }
}
