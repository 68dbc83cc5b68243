#include "bulrush_core/bulrush_core.h"
#include "bulrush_node/groups/JobSource.h"
#include "bulrush_ownership/bulrush_ownership.h"

#include <criterion/criterion.h>

using namespace bulrush;

namespace {

/** The records and the work stream of one node, with one group that runs unclaimed tasks. */
class RerunWorld
{
public:
    RerunWorld()
    {
        this->claims.read(0, encode(GroupClaim { "claim", GroupId("g"), NodeId("n"), 1 }));
    }

    Record publish(const std::string &id, const std::string &supersedes)
    {
        Record record { "job/1",
                        "job",
                        "nightly",
                        id,
                        supersedes,
                        "operator-1",
                        R"({"team":"kask","tasks":4,"batchClass":"risk","cpuMilli":500,)"
                        R"("memoryMb":100,"runMs":60000})" };
        this->append(record);
        return record;
    }

    void end(const Record &record)
    {
        this->append(jobDoneRecord(record, "done-" + record.id, NodeId("n"), JobOutcome::Finished));
    }

    void cancel(const std::string &id, const std::string &supersedes)
    {
        this->append({ "cancellation/1", "cancellation", "nightly", id, supersedes, "operator-1",
                       R"({"job":"nightly"})" });
    }

    /** Runs up to `limit` unclaimed tasks of the job. @returns the number of tasks run */
    std::uint32_t runFree(std::uint32_t limit)
    {
        const auto free = this->claims.freeRange(this->job(), this->spec().taskCount, limit);
        if (!free) {
            return 0;
        }
        for (const WorkChange change : { WorkChange::ClaimTasks, WorkChange::CompleteTasks }) {
            const WorkItem item { change, free->job, free->first, free->last, 0, {}, {} };
            ++this->offset;
            this->claims.read(this->offset,
                              encode(GroupOperation { GroupId("g"), 1, this->offset, { item } }));
        }
        return free->last - free->first + 1;
    }

    bool isComplete() const { return this->claims.isComplete(this->job(), this->spec().taskCount); }

    const JobSpec &spec() const { return *this->source.registry().inOrder().at(0); }
    const JobId &job() const { return this->spec().job; }
    const JobRegistry &registry() const { return this->source.registry(); }
    RecordState &state() { return this->records; }

private:
    void append(const Record &record)
    {
        const Verdict verdict = this->records.apply(this->records.nextOffset(), record.text());
        cr_assert(verdict.outcome == RecordOutcome::Accepted, "%s", verdict.reason.c_str());
        this->source.update(this->records);
    }

    RecordState records;
    JobSource source { DataCentreId("d") };
    GroupClaims claims;
    std::uint64_t offset = 0;
};

} // namespace

Test(JobSource, aJobPublishedAgainAfterItsEndRunsAgainOnce)
{
    RerunWorld world;
    const Record first = world.publish("a", "");
    cr_assert_eq(world.runFree(10), 4U);
    cr_assert(world.isComplete());
    world.end(first);
    cr_assert(world.registry().inOrder().empty());
    const Record second = world.publish("b", "a");
    cr_assert_not(world.isComplete());
    cr_assert_eq(world.runFree(10), 4U);
    cr_assert_eq(world.runFree(10), 0U);
    cr_assert(world.isComplete());
    world.end(second);
    cr_assert(world.registry().inOrder().empty());
}

Test(JobSource, aJobSupersededWhileRunningKeepsItsFinishedTasks)
{
    RerunWorld world;
    world.publish("a", "");
    cr_assert_eq(world.runFree(3), 3U);
    world.publish("b", "a");
    const Record last = world.publish("c", "b");
    cr_assert_eq(world.runFree(10), 1U);
    cr_assert(world.isComplete());
    world.end(last);
    world.publish("d", "c");
    cr_assert_eq(world.runFree(10), 4U);
}

Test(JobSource, aRunIsNamedAfterItsJobAndFirstRecord)
{
    RerunWorld world;
    world.publish("a", "");
    const JobId run = world.job();
    cr_assert(run == runOf("nightly", "a"));
    cr_assert(runOf(world.state(), "nightly") == run);
    cr_assert_eq(run.name(), "nightly.d24ec4f1");
    cr_assert(runOf("nightly", "b") != run);
    cr_assert_not(runOf(world.state(), "weekly").has_value());
}

Test(JobSource, aCancellationEndsItsRunOnly)
{
    RerunWorld world;
    const Record first = world.publish("a", "");
    cr_assert_eq(world.runFree(2), 2U);
    world.cancel("stop", "");
    cr_assert(world.registry().isCancelled(world.job()));
    world.end(first);
    world.publish("b", "a");
    cr_assert_not(world.registry().isCancelled(world.job()));
    cr_assert_eq(world.runFree(10), 4U);
}
