#include "DispatcherFixture.h"

#include <criterion/criterion.h>

using namespace bulrush;
using namespace bulrush::test;

/* Nothing told how soon after a takeover the leases were renewed, so a run that lapsed for want of
   a renewal looked like one on a worker that was cut off. */
Test(Dispatcher, anOwnerTellsOnceHowSoonItRenewedTheLeasesOfItsWorkers)
{
    DispatcherFixture fixture;
    fixture.worker("w2").silent = true;
    fixture.begin({});
    fixture.listWorker("w1");
    fixture.listWorker("w2");
    const AttemptRef lapsed { TaskRef { JobId("a"), 0, 0, 0 }, 1 };
    fixture.workers.endRun(TargetId("w1"), lapsed, EndKind::LeaseLapsed);
    fixture.runFor(seconds(7));
    const std::vector<std::string> &lines = fixture.decisions.lines[Event::FirstRenewals];
    cr_assert_eq(lines.size(), 1U);
    for (const char *field : { "\"workers\":2", "\"unrenewed\":1", "\"silent\":1", "\"lapsed\":1",
                               "\"since_ready_ms\":" }) {
        cr_expect(lines[0].find(field) != std::string::npos, "no %s in %s", field,
                  lines[0].c_str());
    }
    cr_expect_eq(fixture.dispatcher.load().lapsedRuns.soonAfterTakeover, 1U);
}

/* A worker that joined late and was given a task looked like one whose runs had long gone without a
   renewal. */
Test(Dispatcher, theLongestTimeWithoutARenewalCountsRunsOfFormerOwnersOnly)
{
    DispatcherFixture fixture;
    fixture.worker("w2").silent = true;
    fixture.begin({});
    fixture.listWorker("w1");
    fixture.listWorker("w2");
    fixture.accept(makeJob("a", 1));
    fixture.runFor(seconds(1));
    const std::vector<std::string> &lines = fixture.decisions.lines[Event::FirstRenewals];
    cr_assert_eq(lines.size(), 1U);
    cr_expect_eq(fixture.startsOn("w1"), 1U);
    cr_expect(lines[0].find("\"longest_with_runs_ms\":0") != std::string::npos, "%s",
              lines[0].c_str());
}
