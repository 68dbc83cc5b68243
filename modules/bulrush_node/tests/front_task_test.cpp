#include "bulrush_core/bulrush_core.h"
#include "bulrush_node/front/FrontTask.h"

#include <criterion/criterion.h>

using namespace bulrush;

namespace {

/** Sends a keyed request to a front task that never receives the result of the key claim.
    @returns the answer
*/
HttpResponse callWithUndecidedKey(std::uint16_t port, std::string_view firstTry)
{
    EventLoop loop;
    const SystemClock clock;
    NodeMetrics metrics;
    EventLog events("test");
    FrontSettings settings;
    settings.callers = { "127.0.0.1", port };
    FrontTask front(loop, clock, settings, metrics, events, [](const FrontReport &) {});
    FrontConfiguration configuration;
    configuration.services[ServiceId("review")] = {};
    front.handle(configuration);

    HttpCaller caller(loop, 1);
    HttpRequest request;
    request.method = "POST";
    request.path = "/services/review/cut";
    request.headers = { { "idempotency-key", "1700000000-k" },
                        { "bulrush-deadline-ms", "20" },
                        { "bulrush-first-try", std::string(firstTry) } };
    std::optional<CallResult> result;
    caller.call(settings.callers, std::move(request), seconds(30),
                [&result](CallResult answer) { result = std::move(answer); });
    while (!result) {
        loop.runOnce();
    }
    cr_assert(result->response.has_value());
    return *result->response;
}

} // namespace

Test(FrontTask, answersNotRunToAFirstTryWhoseKeyIsUndecided)
{
    cr_assert_eq(callWithUndecidedKey(18121, "1").status, 503);
}

Test(FrontTask, answersUnknownToARepeatWhoseKeyIsUndecided)
{
    cr_assert_eq(callWithUndecidedKey(18122, "0").status, 504);
}
