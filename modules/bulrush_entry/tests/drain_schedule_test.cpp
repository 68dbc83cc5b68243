#include "bulrush_core/time/ManualClock.h"
#include "bulrush_entry/front/DrainSchedule.h"

#include <criterion/criterion.h>

using namespace bulrush;

namespace {

constexpr milliseconds gracePeriod { 6000 };

/** A node that is told to stop when the fixture is built. */
class DrainFixture
{
public:
    DrainStep stepAt(milliseconds sinceDrain, std::size_t openRequests,
                     milliseconds lastRequestSinceDrain)
    {
        return this->schedule.stepAt(this->start + sinceDrain,
                                     { openRequests, this->start + lastRequestSinceDrain });
    }

    ManualClock clock;
    Instant start = clock.now();
    DrainSchedule schedule { gracePeriod, start };
};

} // namespace

Test(DrainSchedule, aNodeStaysWhileThePlatformMaySendRequests)
{
    DrainFixture fixture;
    cr_assert(fixture.stepAt(milliseconds(2500), 0, milliseconds(0)) == DrainStep::Serve);
    cr_assert(fixture.stepAt(milliseconds(2600), 0, milliseconds(0)) == DrainStep::Stop);
    cr_assert(fixture.stepAt(milliseconds(2600), 0, milliseconds(1500)) == DrainStep::Serve);
}

/* The answer to the last request was made but not sent when the loop stopped. */
Test(DrainSchedule, aNodeStaysWhileAnAnswerIsUnsent)
{
    DrainFixture fixture;
    cr_assert(fixture.stepAt(milliseconds(3000), 1, milliseconds(0)) != DrainStep::Stop);
    cr_assert(fixture.stepAt(milliseconds(5400), 1, milliseconds(0)) != DrainStep::Stop);
}

Test(DrainSchedule, theProcessHasHalfASecondToExit)
{
    DrainFixture fixture;
    cr_assert(fixture.stepAt(milliseconds(5300), 0, milliseconds(5290)) == DrainStep::Stop);
    cr_assert(fixture.stepAt(milliseconds(5500), 1, milliseconds(5490)) == DrainStep::Stop);
}

/* The loop stopped while requests were open: their callers got no answer. */
Test(DrainSchedule, openRequestsAreAnsweredBeforeTheEnd)
{
    DrainFixture fixture;
    const auto stepAt = [&fixture](int millis) {
        return fixture.stepAt(milliseconds(millis), 1, milliseconds(millis));
    };
    cr_assert(stepAt(4500) == DrainStep::Serve);
    cr_assert(stepAt(4600) == DrainStep::RefuseNew);
    cr_assert(stepAt(4700) == DrainStep::RefuseNew);
    cr_assert(stepAt(4800) == DrainStep::AnswerOpen);
    cr_assert(stepAt(5400) == DrainStep::AnswerOpen);
}

Test(DrainSchedule, withTheShortestGracePeriodRequestsAreAnsweredAtOnce)
{
    const Instant start = ManualClock().now();
    const DrainSchedule schedule(milliseconds(1001), start);
    cr_assert(schedule.stepAt(start, { 1, start }) == DrainStep::AnswerOpen);
    cr_assert(schedule.stepAt(start + milliseconds(302), { 0, start }) == DrainStep::Stop);
}
