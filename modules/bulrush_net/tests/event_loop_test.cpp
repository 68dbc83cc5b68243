#include "bulrush_net/loop/EventLoop.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>

using namespace bulrush;

/* An owner of hundreds of workers has thousands of timers, most of which are cancelled. */
Test(EventLoop, timersFireInTheOrderOfTheirTimesAndCancelledOnesNever)
{
    EventLoop loop;
    std::mt19937 random(5);
    std::vector<int> delays(2000);
    std::generate(delays.begin(), delays.end(),
                  [&random] { return static_cast<int>(random() % 50); });
    std::vector<int> fired;
    for (const int delay : delays) {
        loop.schedule(milliseconds(10 * delay), [&fired, delay] { fired.push_back(delay); });
        const EventLoop::TimerId cancelled = loop.schedule(
                milliseconds(delay), [] { cr_assert_fail("a cancelled timer fired"); });
        loop.cancel(cancelled);
    }
    loop.schedule(seconds(1), [&loop] { loop.stop(); });
    loop.run();
    std::sort(delays.begin(), delays.end());
    cr_assert_eq(fired.size(), delays.size());
    cr_assert(fired == delays);
}

Test(EventLoop, aTimerThatAddsOneAtOnceDoesNotHoldUpTheOthers)
{
    EventLoop loop;
    int rounds = 0;
    std::function<void()> again = [&] {
        ++rounds;
        loop.schedule(Duration::zero(), again);
    };
    loop.schedule(Duration::zero(), again);
    loop.schedule(milliseconds(5), [&loop] { loop.stop(); });
    loop.run();
    cr_assert_gt(rounds, 1);
}

Test(EventLoop, aTimerMayCancelAnotherThatIsDueAsWell)
{
    EventLoop loop;
    EventLoop::TimerId second = 0;
    loop.schedule(milliseconds(1), [&] { loop.cancel(second); });
    second = loop.schedule(milliseconds(1), [] { cr_assert_fail("it was cancelled"); });
    loop.schedule(milliseconds(20), [&loop] { loop.stop(); });
    loop.run();
}
