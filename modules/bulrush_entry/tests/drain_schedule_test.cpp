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
