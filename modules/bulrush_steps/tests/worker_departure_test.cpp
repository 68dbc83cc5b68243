#include "DispatcherFixture.h"

#include "bulrush_core/errors/Error.h"
#include "bulrush_steps/follow/RecordsView.h"
#include "bulrush_steps/follow/WorkerFollower.h"

#include <criterion/criterion.h>

#include <memory>

using namespace bulrush;
using namespace bulrush::test;

namespace {

/** Interval at which workers write their entries. */
constexpr milliseconds heartbeat { 1100 };

/** Reads entries whose value is "ready" or "draining". */
class EntryDecoder : public RecordDecoder
{
public:
    bool isServingConfig(std::string_view /*key*/) const override { return false; }
    ServingConfig servingConfig(std::string_view /*value*/) const override { return {}; }
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

    WorkerEntry workerEntry(std::string_view key, std::string_view value) const override
    {
        WorkerEntry entry = makeWorkerEntry(std::string(key).c_str());
        entry.draining = value == "draining";
        return entry;
    }
};

/** Owners that follow one another, each with a follower of the list of workers, on one log. */
class Owners : public Dispatcher::Listener, public WorkerFollower::Listener
{
public:
    Owners()
        : workers(clock)
    {
    }

    void superseded(std::string_view /*by*/) override { }
    bool isOwner() const override { return true; }
    bool isSoleOwner() const override { return true; }
    void workerListed(const WorkerEntry &entry) override { this->dispatcher->workerListed(entry); }
    void workerUnlisted(const TargetId &worker, RemovalCause cause) override
    {
        this->dispatcher->workerUnlisted(worker, cause);
    }

    /** Has a new owner take over. The former one stops without a resignation, as if killed. */
    void takeOver()
    {
        ++this->token;
        const KeyedRecord record { records::ownerKey(this->token),
                                   records::encode(OwnerRecord { this->token, "m", true }), 0 };
        this->log.append(LogStream::Jobs, { record }, std::nullopt, {},
                         [](const AppendAnswer &) {});
        RecordsView view(this->clock, this->log, this->decisions);
        view.refresh([](bool) {});
        for (int delivery = 0; delivery < 8; ++delivery) {
            this->log.deliver();
        }
        this->dispatcher =
                std::make_unique<Dispatcher>(this->clock, this->workers, nullptr, this->log,
                                             DispatchSettings(), this->decisions, *this);
        this->follower = std::make_unique<WorkerFollower>(this->clock, this->log, this->decoder,
                                                          heartbeat, this->decisions, *this);
        OwnershipTerm term;
        term.fencingToken = this->token;
        term.previousOwnerSettledAt = this->clock.now() + formerOrdersLifetime;
        this->dispatcher->begin(term, view.jobTable());
    }

    void write(const char *worker, const char *value)
    {
        this->log.streams[LogStream::Workers].push_back({ worker, value, 0 });
    }

    /** Passes time, in which the given workers write their entries. */
    void runFor(milliseconds span, const std::vector<const char *> &live = { "w1", "w2" },
                const char *state = "ready")
    {
        for (milliseconds passed { 0 }; passed < span; passed += tickInterval) {
            if (this->clock.now() >= this->nextHeartbeat) {
                this->nextHeartbeat = this->clock.now() + heartbeat;
                for (const char *worker : live) {
                    this->write(worker, worker == live.front() ? state : "ready");
                }
            }
            this->clock.advance(tickInterval);
            this->follower->tick();
            this->dispatcher->tick();
            this->workers.deliver();
            this->log.deliver();
        }
    }

    /** Begins as the only owner, and starts a job on w1 before w2 is listed.
        @param runTime how long it runs on with both */
    void startOnFirstWorker(milliseconds runTime = seconds(2))
    {
        this->takeOver();
        this->runFor(seconds(1), { "w1" });
        StepJob job = makeJob("a", 1);
        job.steps.front().runsIndefinitely = true;
        const KeyedRecord record { records::jobKey(job.id), records::encode(job), 9 };
        this->log.streams[LogStream::Jobs].push_back(record);
        this->dispatcher->applyJobRecord(record);
        this->runFor(milliseconds(200), { "w1" });
        cr_assert_eq(this->workers.starts.size(), 1U);
        this->runFor(runTime);
    }

    /** Has w1 drain and leave: it ends what it runs, answers no more and is taken off the list. */
    void firstWorkerLeaves()
    {
        this->runFor(milliseconds(2500), { "w1", "w2" }, "draining");
        this->workers.workers[TargetId("w1")].silent = true;
        this->runFor(milliseconds(100), { "w2" });
        this->write("w1", "");
    }

    std::size_t startsOnSecondWorker() const
    {
        return static_cast<std::size_t>(
                std::count_if(this->workers.starts.begin(), this->workers.starts.end(),
                              [](const auto &each) { return each.worker == TargetId("w2"); }));
    }

    ManualClock clock;
    NullDecisionLog decisions;
    EntryDecoder decoder;
    FakeWorkers workers;
    FakeLog log;
    std::uint64_t token = 2;
    Instant nextHeartbeat {};
    std::unique_ptr<Dispatcher> dispatcher;
    std::unique_ptr<WorkerFollower> follower;
};

} // namespace

Test(WorkerDeparture, tasksOfAWorkerThatLeftDoNotWaitForTheirLease)
{
    Owners owners;
    owners.startOnFirstWorker();
    owners.firstWorkerLeaves();
    owners.runFor(seconds(1), { "w2" });
    cr_assert_eq(owners.startsOnSecondWorker(), 1U, "%zu starts", owners.startsOnSecondWorker());
}

Test(WorkerDeparture, aNewOwnerDoesNotWaitForAWorkerThatHadLeft)
{
    Owners owners;
    owners.startOnFirstWorker();
    owners.firstWorkerLeaves();
    owners.runFor(seconds(2), { "w2" });
    owners.takeOver();
    owners.runFor(seconds(2), { "w2" });
    cr_assert_eq(owners.startsOnSecondWorker(), 1U, "%zu starts", owners.startsOnSecondWorker());
}

/* The worker moved to another address and has not been asked there yet. */
Test(WorkerDeparture, aWorkerThatWasNotAskedSinceItMovedHasNotLeft)
{
    Worker worker;
    worker.entry.draining = true;
    worker.deregistered = true;
    cr_assert_not(worker.hasLeft());
    worker.failedHolds = 1;
    cr_assert(worker.hasLeft());
    worker.confirmed = true;
    cr_assert_not(worker.hasLeft());
}

/* A cut takes the worker's path to the list and to the owner, not its tasks. */
Test(WorkerDeparture, tasksOfAWorkerThatWasCutOffWhileItDrainedWaitForTheirLease)
{
    Owners owners;
    owners.startOnFirstWorker();
    owners.runFor(milliseconds(2500), { "w1", "w2" }, "draining");
    owners.workers.workers[TargetId("w1")].silent = true;
    owners.runFor(heartbeat * 3, { "w2" });
    owners.write("w1", "");
    owners.runFor(milliseconds(500), { "w2" });
    cr_assert_eq(owners.startsOnSecondWorker(), 0U);
}

/* A worker withdraws its entry and still answers: it runs on until its last task has ended. */
Test(WorkerDeparture, tasksOfAWorkerThatStillAnswersStayThere)
{
    Owners owners;
    owners.startOnFirstWorker();
    owners.runFor(milliseconds(2500), { "w1", "w2" }, "draining");
    owners.write("w1", "");
    owners.runFor(seconds(3), { "w2" });
    cr_assert_eq(owners.startsOnSecondWorker(), 0U);
}

/* The worker answers the new owner before it leaves, while the new owner waits for another one. */
Test(WorkerDeparture, aNewOwnerDoesNotWaitForAWorkerThatAnsweredItAndLeft)
{
    Owners owners;
    owners.startOnFirstWorker();
    owners.takeOver();
    owners.workers.workers[TargetId("w2")].silent = true;
    owners.runFor(seconds(1));
    owners.firstWorkerLeaves();
    owners.workers.workers[TargetId("w2")].silent = false;
    owners.runFor(seconds(2), { "w2" });
    cr_assert_eq(owners.startsOnSecondWorker(), 1U);
}

/* Without an announced shutdown, a withdrawn entry may be a fault of the list. */
Test(WorkerDeparture, tasksOfAWorkerThatDidNotDrainWaitForTheirLease)
{
    Owners owners;
    owners.startOnFirstWorker();
    owners.workers.workers[TargetId("w1")].silent = true;
    owners.runFor(milliseconds(100), { "w2" });
    owners.write("w1", "");
    owners.runFor(seconds(2), { "w2" });
    cr_assert_eq(owners.startsOnSecondWorker(), 0U);
}

/* The worker is cut off from the new owner, drains, and leaves without having answered it. */
Test(WorkerDeparture, aNewOwnerDoesNotWaitForAWorkerThatLeavesWithoutAnAnswer)
{
    Owners owners;
    owners.startOnFirstWorker();
    owners.workers.workers[TargetId("w1")].silent = true;
    owners.takeOver();
    owners.runFor(seconds(1));
    owners.firstWorkerLeaves();
    owners.runFor(seconds(1), { "w2" });
    cr_assert_eq(owners.startsOnSecondWorker(), 1U);
}

/* The start may still be on its way, to the next process that uses the worker's identifier. */
Test(WorkerDeparture, aStartWithoutAnAnswerIsNotGivenUpWithItsWorker)
{
    Owners owners;
    owners.workers.onStart = [&owners] { owners.workers.workers[TargetId("w1")].silent = true; };
    owners.startOnFirstWorker(milliseconds(0));
    owners.firstWorkerLeaves();
    owners.runFor(milliseconds(400), { "w2" });
    cr_assert_eq(owners.startsOnSecondWorker(), 0U);
}

/* The worker answers the new owner, drains and leaves. Another worker, which never had the task,
   does not answer: the task stayed away for as long as a former owner may have renewed leases. */
Test(WorkerDeparture, aLastingTaskOfAWorkerThatLeftDoesNotWaitForAnotherThatIsSilent)
{
    Owners owners;
    owners.startOnFirstWorker(milliseconds(0));
    owners.runFor(seconds(2), { "w1", "w2", "w3" });
    owners.workers.workers[TargetId("w3")].silent = true;
    owners.takeOver();
    owners.firstWorkerLeaves();
    owners.runFor(seconds(1), { "w2", "w3" });
    cr_assert_eq(owners.startsOnSecondWorker(), 1U, "%zu starts", owners.startsOnSecondWorker());
}
