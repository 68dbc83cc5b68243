#include "bulrush_net/loop/EventLoop.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>

using namespace bulrush;

namespace {

/** The interval in which a timer is due, from clock readings before and after setting it. */
struct DueSpan
{
    microseconds earliest;
    microseconds latest;
};

microseconds monotonicNow()
{
    return duration_cast<microseconds>(std::chrono::steady_clock::now().time_since_epoch());
}

} // namespace

/* The owner of hundreds of workers sets thousands of timers and cancels most of them. Setting them
   takes time, so the firing order is compared with the due times and not with the delays.
 */
Test(EventLoop, timersFireInDueOrderAndCancelledTimersDoNotFire)
{
    constexpr std::size_t timerCount = 2000;
    EventLoop loop;
    std::mt19937 random(5);
    std::vector<DueSpan> due;
    std::vector<std::size_t> fired;
    for (std::size_t number = 0; number < timerCount; ++number) {
        const milliseconds delay(10 * (random() % 50));
        const microseconds before = monotonicNow();
        loop.schedule(delay, [&fired, number] { fired.push_back(number); });
        due.push_back({ before + delay, monotonicNow() + delay });
        const EventLoop::TimerId cancelled =
                loop.schedule(delay, [] { cr_assert_fail("a cancelled timer fired"); });
        loop.cancel(cancelled);
    }
    loop.schedule(seconds(1), [&loop] { loop.stop(); });
    loop.run();
    cr_assert_eq(fired.size(), timerCount);
    microseconds latestBefore { 0 };
    for (const std::size_t number : fired) {
        cr_assert_leq(latestBefore.count(), due[number].latest.count(), "a later timer came first");
        latestBefore = std::max(latestBefore, due[number].earliest);
    }
    std::sort(fired.begin(), fired.end());
    cr_assert(std::adjacent_find(fired.begin(), fired.end()) == fired.end(), "one fired twice");
}

Test(EventLoop, timerThatReschedulesItselfWithZeroDelayDoesNotStarveOthers)
{
    EventLoop loop;
    int rounds = 0;
    std::function<void()> reschedule = [&] {
        ++rounds;
        loop.schedule(Duration::zero(), reschedule);
    };
    loop.schedule(Duration::zero(), reschedule);
    loop.schedule(milliseconds(5), [&loop] { loop.stop(); });
    loop.run();
    cr_assert_gt(rounds, 1);
}

Test(EventLoop, timerMayCancelAnotherDueTimer)
{
    EventLoop loop;
    EventLoop::TimerId second = 0;
    loop.schedule(milliseconds(1), [&] { loop.cancel(second); });
    second = loop.schedule(milliseconds(1), [] { cr_assert_fail("it was cancelled"); });
    loop.schedule(milliseconds(20), [&loop] { loop.stop(); });
    loop.run();
}
