#include "FakeWorkers.h"

#include "bulrush_core/errors/Error.h"
#include "bulrush_steps/follow/ConfigFollower.h"

#include <criterion/criterion.h>

#include <map>
#include <string>

using namespace bulrush;
using namespace bulrush::test;

namespace {

void write(FakeLog &log, LogStream stream, const std::string &key, const std::string &value)
{
    log.streams[stream].push_back({ key, value, 0 });
}

/** Decodes the keys of evacuation requests, and nothing else. */
class PlainDecoder : public RecordDecoder
{
public:
    bool isServingConfig(std::string_view /*key*/) const override { return false; }
    ServingConfig servingConfig(std::string_view /*value*/) const override { return {}; }
    WorkerEntry workerEntry(std::string_view /*key*/, std::string_view /*value*/) const override
    {
        return {};
    }
    StepJob submission(std::string_view /*body*/) const override { return {}; }

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
};

/** Counts lines by their event. */
class CountedDecisions : public DecisionLog
{
public:
    void write(const DecisionLine &line) override { ++this->lines[line.event()]; }
    int count(Event event) { return this->lines[event]; }

private:
    std::map<Event, int> lines;
};

/** Follows the evacuation requests for dc-a and dc-b. */
class EvacuationReader
{
public:
    explicit EvacuationReader(FakeLog &readLog)
        : log(readLog)
        , follower(clock, readLog, decoder, decisions, milliseconds(10), [] {})
    {
        this->follower.followEvacuations({ DataCentreId("dc-a"), DataCentreId("dc-b") });
    }

    void tick()
    {
        this->clock.advance(milliseconds(10));
        this->follower.tick();
        this->log.deliver();
    }

    void read()
    {
        for (int count = 0; count < 20; ++count) {
            this->tick();
        }
    }

    FakeLog &log;
    ManualClock clock;
    CountedDecisions decisions;
    PlainDecoder decoder;
    ConfigFollower follower;
};

} // namespace

/* A malformed request, or one for an unknown data centre, must have no effect and be reported once,
   however often it is read again. */
Test(ConfigFollower, requestsThatCannotBeObeyedAreReportedOnce)
{
    FakeLog log;
    write(log, LogStream::Configuration, "evacuate/", "{}");
    write(log, LogStream::Configuration, "evacuate/elsewhere", "{}");
    EvacuationReader reader(log);
    reader.read();
    log.firstRetained = 5;
    reader.read();
    cr_assert(reader.follower.evacuations().all().empty());
    cr_assert_eq(reader.decisions.count(Event::EvacuationIgnored), 2);
}

/* While the newest records were read again, requests ended and began again, and one that was
   withdrawn meanwhile stayed. */
Test(ConfigFollower, aReReadKeepsRequestsAndFindsWithdrawals)
{
    FakeLog log;
    write(log, LogStream::Configuration, "evacuate/dc-a", "{}");
    write(log, LogStream::Configuration, "evacuate/dc-b", "{}");
    EvacuationReader reader(log);
    reader.read();
    cr_assert_eq(reader.follower.evacuations().all().size(), 2U);
    write(log, LogStream::Configuration, "evacuate/dc-a", "");
    write(log, LogStream::Configuration, "config", "1");
    log.firstRetained = 4;
    for (int tick = 0; tick < 20; ++tick) {
        reader.tick();
        cr_assert(reader.follower.evacuations().isEvacuated(DataCentreId("dc-b")));
    }
    cr_assert_not(reader.follower.evacuations().isEvacuated(DataCentreId("dc-a")));
    cr_assert_eq(reader.decisions.count(Event::EvacuationEnded), 1);
}

/* The age of the requests must not be reset by reads that fail. */
Test(ConfigFollower, onlyAReadThatSucceedsCountsAsOne)
{
    FakeLog log;
    EvacuationReader reader(log);
    reader.read();
    const Instant before = *reader.follower.evacuations().lastReadToEnd();
    log.up = false;
    reader.read();
    cr_assert_leq(*reader.follower.evacuations().lastReadToEnd() - before,
                  Duration(milliseconds(10)));
    log.up = true;
    reader.read();
    cr_assert_gt(*reader.follower.evacuations().lastReadToEnd() - before,
                 Duration(milliseconds(200)));
}
