#include "bulrush_config/bulrush_config.h"
#include "bulrush_core/bulrush_core.h"

#include <criterion/criterion.h>

using namespace bulrush;

namespace {

Record quota(const std::string &id, const std::string &supersedes, int cpuMilli)
{
    return { "quota/1",
             "quota",
             "kask",
             id,
             supersedes,
             "operator-1",
             R"({"team":"kask","cpuMilli":)" + std::to_string(cpuMilli)
                     + R"(,"memoryMb":1000,"accelerators":0})" };
}

Record job(const std::string &id, const std::string &supersedes)
{
    return { "job/1",
             "job",
             "nightly",
             id,
             supersedes,
             "operator-1",
             R"({"team":"kask","tasks":4,"batchClass":"risk","cpuMilli":500,"memoryMb":100,)"
             R"("runMs":60000})" };
}

} // namespace

Test(Records, firstValidSuccessorWins)
{
    RecordState state;
    cr_assert(state.apply(0, quota("a", "", 1).text()).outcome == RecordOutcome::Accepted);
    cr_assert(state.apply(1, quota("b", "a", 2).text()).outcome == RecordOutcome::Accepted);
    const Verdict loser = state.apply(2, quota("c", "a", 3).text());
    cr_assert(loser.outcome == RecordOutcome::Refused);
    cr_assert_eq(loser.winner, "b");
    cr_assert_eq(loser.winnerPublisher, "operator-1");
    cr_assert(state.apply(3, quota("b", "a", 2).text()).outcome == RecordOutcome::Ignored);
    cr_assert_eq(state.find(RecordKind::Quota, "kask")->id, "b");
    cr_assert_eq(readQuotaBody(*state.find(RecordKind::Quota, "kask")).cpuMilli, 2);
    cr_assert_eq(state.history("quota", "kask").size(), 3U);
    cr_assert_throw(state.apply(9, ""), Error);
}

Test(Records, finishedJobIsRemovedAndNotRestartedByADuplicate)
{
    RecordState state;
    state.apply(0, job("a", "").text());
    const Record done =
            jobDoneRecord(job("a", ""), "done-1", NodeId("entry-1"), JobOutcome::Finished);
    cr_assert(state.apply(1, done.text()).outcome == RecordOutcome::Accepted);
    cr_assert_null(state.find(RecordKind::Job, "nightly"));
    cr_assert(state.apply(2, job("a", "").text()).outcome == RecordOutcome::Ignored);
    cr_assert(state.apply(3, done.text()).outcome == RecordOutcome::Ignored);
    cr_assert_eq(state.headId("job", "nightly"), "a");
    cr_assert(state.apply(4, job("b", "a").text()).outcome == RecordOutcome::Accepted);
}

Test(Records, aRunLastsFromTheFirstRecordToTheEnd)
{
    RecordState state;
    cr_assert(state.runId("nightly").empty());
    state.apply(0, job("a", "").text());
    state.apply(1, job("b", "a").text());
    cr_assert_eq(state.runId("nightly"), "a");
    const Record done =
            jobDoneRecord(job("b", "a"), "done-1", NodeId("entry-1"), JobOutcome::Finished);
    cr_assert(state.apply(2, done.text()).outcome == RecordOutcome::Accepted);
    cr_assert_eq(state.runId("nightly"), "a");
    RecordState copy = RecordState::importText(state.exportText());
    for (RecordState *each : { &state, &copy }) {
        each->apply(3, job("c", "b").text());
        each->apply(4, job("d", "c").text());
        cr_assert_eq(each->runId("nightly"), "c");
    }
    cr_assert_eq(copy.exportText(), state.exportText());
}

Test(Records, stateTextWithoutRunIdsUsesTheRecordInForce)
{
    RecordState state;
    state.apply(0, job("a", "").text());
    state.apply(1, job("b", "a").text());
    std::string text = state.exportText();
    for (const std::string_view field : { R"("nextRun":"",)", R"("run":"a",)" }) {
        const std::size_t at = text.find(field);
        cr_assert_neq(at, std::string::npos);
        text.erase(at, field.size());
    }
    const RecordState old = RecordState::importText(text);
    cr_assert_eq(old.runId("nightly"), "b");
    cr_assert_eq(old.headId("job", "nightly"), "b");
}

Test(Records, runIdIsTheSameWhetherTheFirstRecordIsKnownOrNot)
{
    Record refused = job("a", "");
    refused.body.replace(refused.body.find("500"), 3, "0");
    Record newer = job("a", "");
    newer.schema = "job/2";
    for (const Record &first : { job("a", ""), refused, newer }) {
        RecordState state;
        state.apply(0, first.text());
        cr_assert(state.apply(1, job("b", "a").text()).outcome == RecordOutcome::Accepted);
        cr_assert_eq(state.runId("nightly"), "a");
    }
    RecordState state;
    state.apply(0, refused.text());
    cr_assert(state.apply(1, job("b", "").text()).outcome == RecordOutcome::Accepted);
    cr_assert_eq(state.runId("nightly"), "b");
}

Test(Records, exportedStateIsEqualAfterImport)
{
    RecordState state;
    state.apply(0, job("a", "").text());
    state.apply(1, quota("b", "", 5).text());
    state.apply(2, quota("c", "wrong", 5).text());
    const RecordState copy = RecordState::importText(state.exportText());
    cr_assert_eq(copy.exportText(), state.exportText());
    cr_assert_eq(copy.nextOffset(), 3U);
    cr_assert(*copy.find(RecordKind::Job, "nightly") == *state.find(RecordKind::Job, "nightly"));
}

Test(Records, problemsNameTheField)
{
    Record wrong = job("a", "");
    wrong.body.replace(wrong.body.find("500"), 3, "0");
    cr_assert_eq(checkRecord(wrong.text()).problem->text(),
                 "/body/cpuMilli: found 0, expected integer from 1 to 1024000");
    wrong = quota("a", "", 1);
    wrong.name = "parn";
    cr_assert_eq(checkRecord(wrong.text()).problem->field, "/name");
    wrong.schema = "quota/7";
    cr_assert_eq(checkRecord(wrong.text()).problem->text(),
                 "/schema: found unknown version \"quota/7\", expected quota/1");
}

Test(SnapshotSchedule, completedSnapshotPostponesTheNextOne)
{
    ManualClock clock;
    const SnapshotTiming timing { hours(2), minutes(10) };
    SnapshotSchedule first(NodeId("entry-1"), clock.now(), timing);
    SnapshotSchedule second(NodeId("entry-2"), clock.now(), timing);
    clock.advance(hours(2) - minutes(1));
    cr_assert_not(first.isDue(clock.now()));
    RecordState state;
    state.apply(0, quota("a", "", 1).text());
    for (const std::string &part : snapshotParts(state)) {
        first.processEntry(part, clock.now());
    }
    clock.advance(minutes(11));
    cr_assert_not(first.isDue(clock.now()), "another node's snapshot was not seen");
    cr_assert(second.isDue(clock.now()));
    second.markWriteStarted(clock.now());
    cr_assert_not(second.isDue(clock.now()));
    cr_assert_eq(first.lastCompletedOffset().value(), 1U);
}
