#include "DispatcherFixture.h"

#include <criterion/criterion.h>

using namespace bulrush;
using namespace bulrush::test;

namespace {

const DataCentreId dcA("dc-a");
const DataCentreId dcB("dc-b");

DispatchSettings settingsWithEvacuations()
{
    DispatchSettings settings = DispatcherFixture::settings();
    settings.evacuationBound = milliseconds(5000);
    return settings;
}

StepJob makeWatch(const char *id, std::uint32_t tasks)
{
    StepJob job = makeJob(id, tasks);
    job.steps[0].runsIndefinitely = true;
    return job;
}

/** An owner that follows evacuation requests. */
class EvacuatingOwner : public DispatcherFixture
{
public:
    EvacuatingOwner()
        : DispatcherFixture(settingsWithEvacuations())
    {
        this->dispatcher.followEvacuations(this->requests);
    }

    Instant storeAnsweredAt() const override
    {
        return this->storeAnswers ? this->clock.now() : Instant();
    }

    void list(const char *name, const DataCentreId &dataCentre, milliseconds coldLeft = {})
    {
        WorkerEntry entry = makeWorkerEntry(name);
        entry.dataCentre = dataCentre;
        entry.coldLeft = coldLeft;
        this->dispatcher.workerListed(entry);
    }

    void request(const DataCentreId &dataCentre)
    {
        this->requests.request(dataCentre, ++this->offset, this->clock.now());
    }

    void run(milliseconds span)
    {
        for (milliseconds passed { 0 }; passed < span; passed += tickInterval) {
            if (this->readsRequests) {
                this->requests.readToEnd(this->clock.now());
            }
            this->runFor(tickInterval);
        }
    }

    std::size_t runsOn(const char *name) { return this->worker(name).running.size(); }

    EvacuationRequests requests;
    std::uint64_t offset = 0;
    bool readsRequests = true;
    bool storeAnswers = true;
};

} // namespace

/* Workers of an evacuated data centre went on receiving starts, also when several data centres were
   evacuated and one came back. */
Test(Evacuation, onlyTheEvacuatedDataCentresTakeNoStarts)
{
    EvacuatingOwner owner;
    owner.request(dcA);
    owner.request(dcB);
    owner.begin({});
    owner.list("w1", dcA);
    owner.list("w2", dcB);
    owner.list("w3", DataCentreId("dc-c"));
    owner.run(milliseconds(200));
    owner.accept(makeJob("a", 6));
    owner.run(milliseconds(500));
    cr_assert_eq(owner.startsOn("w1") + owner.startsOn("w2"), 0U);
    cr_assert_eq(owner.startsOn("w3"), 6U);
    owner.requests.withdraw(dcB, ++owner.offset);
    owner.accept(makeJob("b", 30));
    owner.run(seconds(1));
    cr_assert_eq(owner.startsOn("w1"), 0U);
    cr_assert_gt(owner.startsOn("w2"), 0U);
}

/* A worker that is listed while its data centre is evacuated was not known to be evacuated. */
Test(Evacuation, aWorkerThatAppearsLaterTakesNoStarts)
{
    EvacuatingOwner owner;
    owner.begin({});
    owner.request(dcA);
    owner.run(milliseconds(50));
    owner.list("w1", dcA);
    owner.accept(makeJob("a", 1));
    owner.run(milliseconds(500));
    cr_assert_eq(owner.startsOn("w1"), 0U);
}

/* A start that waited for its record was sent after the request. */
Test(Evacuation, startsThatWaitForTheirRecordArePlannedElsewhere)
{
    EvacuatingOwner owner;
    owner.begin({});
    owner.list("w1", dcA);
    owner.run(milliseconds(200));
    owner.log.up = false;
    owner.accept(makeWatch("a", 1));
    owner.run(milliseconds(200));
    owner.request(dcA);
    owner.list("w2", dcB);
    owner.log.up = true;
    owner.run(seconds(3));
    cr_assert_eq(owner.startsOn("w1"), 0U);
    cr_assert_eq(owner.runsOn("w2"), 1U);
}

/* A start that was sent but not answered was sent there again. */
Test(Evacuation, anUnansweredStartIsNotRetriedThere)
{
    EvacuatingOwner owner;
    owner.begin({});
    owner.list("w1", dcA);
    owner.run(milliseconds(200));
    owner.worker("w1").losesStartAnswers = true;
    owner.accept(makeJob("a", 1));
    while (owner.startsOn("w1") == 0) {
        owner.run(tickInterval);
    }
    owner.request(dcA);
    owner.run(seconds(12));
    cr_assert_eq(owner.startsOn("w1"), 1U);
}

/* A new owner that did not know of a request started tasks in that data centre. */
Test(Evacuation, aNewOwnerStartsNothingBeforeItHasReadTheRequests)
{
    EvacuatingOwner owner;
    owner.readsRequests = false;
    owner.begin({});
    owner.list("w1", dcA);
    owner.accept(makeJob("a", 1));
    owner.run(milliseconds(500));
    cr_assert_eq(owner.startsOn("w1"), 0U);
    owner.readsRequests = true;
    owner.run(milliseconds(500));
    cr_assert_eq(owner.startsOn("w1"), 1U);
}

/* An owner whose reads of the requests failed, while its other calls to the store succeeded, went
   on without ever learning of a request. */
Test(Evacuation, aStaleReadingStopsStartsWhileTheStoreAnswers)
{
    EvacuatingOwner owner;
    owner.begin({});
    owner.list("w1", dcA);
    owner.run(milliseconds(200));
    owner.readsRequests = false;
    owner.run(milliseconds(5100));
    owner.accept(makeJob("a", 1));
    owner.run(milliseconds(500));
    cr_assert_eq(owner.startsOn("w1"), 0U);
    owner.storeAnswers = false;
    owner.run(milliseconds(500));
    cr_assert_eq(owner.startsOn("w1"), 1U);
}

/* Long-running runs do not end by themselves, so they stayed for as long as the request. */
Test(Evacuation, longRunningRunsMoveOutOneAfterTheOther)
{
    EvacuatingOwner owner;
    owner.begin({});
    owner.list("w1", dcA);
    for (const char *name : { "w1", "w2", "w3" }) {
        owner.worker(name).highestPercent = 100;
    }
    owner.run(milliseconds(200));
    owner.accept(makeWatch("a", 4));
    owner.run(seconds(1));
    cr_assert_eq(owner.runsOn("w1"), 4U);
    owner.list("w2", dcB);
    owner.list("w3", dcB);
    owner.run(milliseconds(300));
    owner.request(dcA);
    for (int step = 0; step < 300; ++step) {
        owner.run(tickInterval);
        cr_assert_geq(owner.runsOn("w1") + owner.runsOn("w2") + owner.runsOn("w3"), 3U,
                      "several moved at once");
    }
    owner.run(seconds(5));
    cr_assert_eq(owner.runsOn("w1"), 0U);
    cr_assert_eq(owner.runsOn("w2") + owner.runsOn("w3"), 4U);
}

/* Runs were stopped although nothing else had room for them. */
Test(Evacuation, runsStayWhileThereIsNoRoomElsewhere)
{
    EvacuatingOwner owner;
    owner.begin({});
    owner.list("w1", dcA);
    owner.worker("w1").highestPercent = 100;
    owner.run(milliseconds(200));
    owner.accept(makeWatch("a", 2));
    owner.run(seconds(1));
    owner.request(dcA);
    owner.run(seconds(10));
    cr_assert_eq(owner.runsOn("w1"), 2U);
    cr_assert_eq(owner.worker("w1").stopped.size(), 0U);
    cr_assert(owner.dispatcher.load().evacuation.waitsForCapacity);
}

/* One member of a gang that lost its start left the others running without it. */
Test(Evacuation, aGangThatCannotStartWholeStartsElsewhere)
{
    EvacuatingOwner owner;
    owner.begin({});
    owner.list("w1", dcA);
    owner.list("w2", dcB);
    owner.run(milliseconds(200));
    owner.log.up = false;
    StepJob gang = makeWatch("a", 2);
    gang.steps[0].gang = true;
    gang.steps[0].maxPerWorker = 1;
    owner.accept(gang);
    owner.run(milliseconds(200));
    owner.request(dcA);
    owner.list("w3", dcB);
    owner.log.up = true;
    owner.run(seconds(3));
    cr_assert_eq(owner.runsOn("w1"), 0U);
    cr_assert_eq(owner.runsOn("w2"), 1U);
    cr_assert_eq(owner.runsOn("w3"), 1U);
}

/* Runs were stopped for a task whose room was then on an evacuated worker, where it cannot start.
 */
Test(Evacuation, noRunIsStoppedThereToMakeRoom)
{
    EvacuatingOwner owner;
    owner.begin({});
    owner.list("w1", dcA);
    owner.worker("w1").highestPercent = 100;
    owner.run(milliseconds(200));
    owner.accept(makeWatch("a", 16));
    owner.run(seconds(8));
    owner.request(dcA);
    owner.accept(makeWatch("b", 1));
    owner.run(seconds(8));
    cr_assert_eq(owner.worker("w1").stopped.size(), 0U);
}

/* Workers that came back cold took as many starts as warm ones. */
Test(Evacuation, coldWorkersTakeStartsAtTheirRate)
{
    EvacuatingOwner owner;
    ServingConfig config;
    PoolPolicy pool;
    pool.service = ServiceId("review");
    pool.coldStartsPerSecond = 1.0;
    config.pools = { pool };
    owner.dispatcher.configure(config);
    owner.begin({});
    owner.list("w1", dcA, seconds(10));
    owner.run(milliseconds(200));
    owner.accept(makeJob("a", 16));
    owner.run(seconds(1));
    cr_assert_leq(owner.startsOn("w1"), 7U);
    owner.list("w2", dcB);
    owner.run(seconds(1));
    cr_assert_gt(owner.startsOn("w2"), 0U);
}
