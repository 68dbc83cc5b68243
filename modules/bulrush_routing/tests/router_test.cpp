#include "bulrush_routing/bulrush_routing.h"

#include "bulrush_core/bulrush_core.h"

#include <criterion/criterion.h>

using namespace bulrush;
using namespace bulrush::routing;

namespace {

constexpr Instant start { hours(1) };

Router routerWith(int targets)
{
    Router router(RouterSettings { DataCentreId("dc1") });
    for (int i = 0; i < targets; ++i) {
        router.putTarget({ TargetId("t" + std::to_string(i)), DataCentreId("dc1"), 8, 7 });
    }
    return router;
}

Request requestOf(std::uint64_t id, bool idempotent)
{
    return Request { RequestId(id), start + milliseconds(300), RequestClass::Interactive,
                     idempotent };
}

template<class Kind>
std::vector<Kind> only(const std::vector<Action> &actions)
{
    std::vector<Kind> found;
    for (const Action &action : actions) {
        if (const auto *kind = std::get_if<Kind>(&action)) {
            found.push_back(*kind);
        }
    }
    return found;
}

} // namespace

Test(Router, sendsAndAnswers)
{
    Router router = routerWith(2);
    router.arrived(requestOf(1, false), start);
    const auto sends = only<Send>(router.takeActions());
    cr_assert_eq(sends.size(), 1U);
    router.sendStarted(sends[0].attempt);
    cr_assert(router.answerHead(sends[0].attempt, {}, start) == RequestId(1));
    router.answerForwarded(RequestId(1));
    router.answerComplete(sends[0].attempt, start);
    const auto answers = only<Answer>(router.takeActions());
    cr_assert_eq(answers.size(), 1U);
    cr_assert(answers[0].outcome == Outcome::Answered);
    cr_assert(router.isIdle());
}

Test(Router, refusesAtOnceWithoutTargets)
{
    Router router = routerWith(0);
    router.arrived(requestOf(1, false), start);
    const auto answers = only<Answer>(router.takeActions());
    cr_assert(answers.at(0).outcome == Outcome::NotRun);
    cr_assert(answers.at(0).retryAfter >= seconds(1));
}

Test(Router, reportsUnknownOnceSendStarted)
{
    Router router = routerWith(2);
    router.arrived(requestOf(1, false), start);
    const auto sends = only<Send>(router.takeActions());
    router.sendStarted(sends.at(0).attempt);
    router.attemptLost(sends[0].attempt, start);
    cr_assert(only<Answer>(router.takeActions()).at(0).outcome == Outcome::Unknown);
}
