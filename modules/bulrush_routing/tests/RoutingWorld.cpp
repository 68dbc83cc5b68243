#include "RoutingWorld.h"

#include "bulrush_core/errors/Error.h"

#include <set>

namespace bulrush::routing {

using scenario::Interpreter;
using scenario::Step;

namespace {

constexpr std::array<std::string_view, 4> outcomeNames { "answered", "not-run", "unknown",
                                                         "truncated" };

std::string_view nameOf(const std::optional<Answer> &answer)
{
    return answer ? outcomeNames[static_cast<std::size_t>(answer->outcome)] : "open";
}

LeavingSource sourceOf(const Step &step)
{
    const std::string name = step.option("by", "list");
    if (name == "word") {
        return LeavingSource::SelfReport;
    }
    return name == "record" ? LeavingSource::Record : LeavingSource::PlatformList;
}

void check(bool condition, RequestId request, std::string_view reason)
{
    if (!condition) {
        throw Error("check outcome", std::to_string(static_cast<std::uint64_t>(request)), reason);
    }
}

} // namespace

RoutingWorld::RoutingWorld()
    : router(RouterSettings { DataCentreId("dc1") })
    , executors(this->router, this->clock, [this](RequestId request, const std::string &part) {
        this->callers.at(request).body += part;
    })
{
}

void RoutingWorld::bindTo(Interpreter &interpreter)
{
    this->bindSetup(interpreter);
    this->bindRequests(interpreter);
    this->bindExpectations(interpreter);
}

void RoutingWorld::bindSetup(Interpreter &interpreter)
{
    interpreter.bind("target", [this](const Step &step) { this->addTarget(step); });
    interpreter.bind("behave", [this](const Step &step) { this->behave(step); });
    interpreter.bind("silence", [this](const Step &step) {
        this->executors.silence(step.argument(0),
                                static_cast<ConnectionIndex>(step.numberOption("connection", 0)));
    });
    interpreter.bind("leaving", [this](const Step &step) {
        this->router.setLeaving(TargetId(step.argument(0)), sourceOf(step), true,
                                this->clock.now());
    });
    interpreter.bind("returned", [this](const Step &step) {
        this->router.setLeaving(TargetId(step.argument(0)), sourceOf(step), false,
                                this->clock.now());
    });
    interpreter.bind("remove", [this](const Step &step) {
        this->router.removeTarget(TargetId(step.argument(0)));
    });
    interpreter.bind("cut", [this](const Step &step) {
        this->router.setReachable(DataCentreId(step.argument(0)), false);
    });
    interpreter.bind("heal", [this](const Step &step) {
        this->router.setReachable(DataCentreId(step.argument(0)), true);
    });
    interpreter.bind("drain", [this](const Step &) { this->router.drain(); });
}

void RoutingWorld::bindRequests(Interpreter &interpreter)
{
    interpreter.bind("request", [this](const Step &step) {
        this->submitRequest(static_cast<std::uint64_t>(step.number(0)), step);
    });
    interpreter.bind("requests", [this](const Step &step) { this->submitRequests(step); });
    interpreter.bind("gone", [this](const Step &step) {
        const RequestId id { static_cast<std::uint64_t>(step.number(0)) };
        this->router.callerDisconnected(id, this->clock.now());
        this->callers.erase(id);
        this->executeActions();
    });
    interpreter.bind("advance", [this](const Step &step) { this->advance(step.duration(0)); });
    interpreter.bind("mark", [this](const Step &step) {
        this->marks[step.argument(0)] = this->executors.sendsTo(step.argument(0));
    });
}

void RoutingWorld::bindExpectations(Interpreter &interpreter)
{
    interpreter.bind("expect", [this](const Step &step) {
        const Caller &caller = this->callerOf(step);
        step.require(nameOf(caller.answer) == step.argument(1),
                     "the outcome is " + std::string(nameOf(caller.answer)));
        const Duration within = step.durationOption("within", hours(1));
        step.require(!caller.answer || caller.endedAt - caller.arrivedAt <= within,
                     "the outcome was reported too late");
        const auto runs = this->executors.runsOf(caller.request.id);
        step.require(step.numberOption("runs", runs) == runs,
                     "the request ran " + std::to_string(runs) + " times");
    });
    interpreter.bind("expect-each", [this](const Step &step) { this->expectEach(step); });
    interpreter.bind("expect-retry-spread",
                     [this](const Step &step) { this->expectRetrySpread(step); });
    interpreter.bind("expect-new-requests", [this](const Step &step) {
        const auto sends = static_cast<std::int64_t>(this->executors.sendsTo(step.argument(0))
                                                     - this->marks[step.argument(0)]);
        const std::int64_t least = step.numberOption("least", 0);
        const std::int64_t most = step.numberOption("most", sends);
        step.require(least <= sends && sends <= most,
                     "requests sent to the target: " + std::to_string(sends));
    });
    interpreter.bind("expect-retries-at-most", [this](const Step &step) {
        const RouterCounts &counts = this->router.counts();
        const std::uint64_t repeated = counts.retries + counts.hedges;
        const auto percent = static_cast<std::uint64_t>(step.number(0));
        step.require(repeated * 100 <= counts.arrived * percent,
                     std::to_string(repeated) + " of " + std::to_string(counts.arrived));
    });
    interpreter.bind("expect-idle", [this](const Step &step) {
        step.require(this->router.isIdle(), "requests are pending");
    });
}

//==============================================================================
void RoutingWorld::addTarget(const Step &step)
{
    TargetSettings settings;
    settings.id = TargetId(step.argument(0));
    settings.dataCentre = DataCentreId(step.option("dc", "dc1"));
    settings.slots = static_cast<unsigned>(step.numberOption("slots", settings.slots));
    settings.connections =
            static_cast<unsigned>(step.numberOption("connections", settings.connections));
    this->router.putTarget(settings);
}

void RoutingWorld::behave(const Step &step)
{
    Behaviour behaviour;
    behaviour.kind = behaviourNamed(step.argument(1));
    behaviour.after = step.durationOption("after", behaviour.after);
    behaviour.gap = step.durationOption("gap", behaviour.gap);
    behaviour.parts = static_cast<std::size_t>(step.numberOption("parts", 1));
    behaviour.leaving = step.option("leaving", "no") == "yes";
    this->executors.setBehaviour(step.argument(0), behaviour);
}

void RoutingWorld::submitRequest(std::uint64_t number, const Step &step)
{
    Request request;
    request.id = RequestId(number);
    request.deadline = this->clock.now() + step.durationOption("deadline", milliseconds(300));
    request.idempotent = step.option("idempotent", "no") == "yes";
    request.inactivityTimeout = step.durationOption("silence", milliseconds(100));
    if (step.option("class", "interactive") == "bulk") {
        request.requestClass = RequestClass::Bulk;
    }
    this->callers[request.id] = Caller { request, this->clock.now(), {}, {}, {} };
    this->router.arrived(request, this->clock.now());
    this->executeActions();
}

void RoutingWorld::submitRequests(const Step &step)
{
    const auto first = static_cast<std::uint64_t>(step.number(0));
    const auto last = static_cast<std::uint64_t>(step.number(1));
    const Duration every = step.durationOption("every", Duration(0));
    for (std::uint64_t number = first; number <= last; ++number) {
        this->submitRequest(number, step);
        this->advance(every);
    }
}

void RoutingWorld::advance(Duration span)
{
    const Instant until = this->clock.now() + span;
    while (true) {
        const Instant tickDue = std::max(this->router.nextDue(), this->clock.now());
        const Instant eventDue = this->executors.nextDue().value_or(until + span + seconds(1));
        const Instant due = std::min(tickDue, eventDue);
        if (due > until || (due == until && span == Duration(0))) {
            break;
        }
        this->clock.advance(due - this->clock.now());
        if (eventDue <= tickDue) {
            this->executors.runNext();
        } else {
            this->router.tick(due);
        }
        this->executeActions();
    }
    this->clock.advance(until - this->clock.now());
}

void RoutingWorld::executeActions()
{
    for (const Action &action : this->router.takeActions()) {
        if (const auto *answer = std::get_if<Answer>(&action)) {
            this->recordAnswer(*answer);
        } else if (const auto *send = std::get_if<Send>(&action)) {
            this->executors.carryOut(*send);
        } else if (const auto *abandon = std::get_if<Abandon>(&action)) {
            this->executors.carryOut(*abandon);
        } else if (const auto *close = std::get_if<CloseIdle>(&action)) {
            this->executors.carryOut(*close);
        }
    }
}

void RoutingWorld::recordAnswer(const Answer &answer)
{
    Caller &caller = this->callers.at(answer.request);
    check(!caller.answer, answer.request, "answered twice");
    caller.answer = answer;
    caller.endedAt = this->clock.now();
    const unsigned runs = this->executors.runsOf(answer.request);
    check(caller.request.idempotent || runs <= 1, answer.request, "ran twice");
    switch (answer.outcome) {
    case Outcome::Answered:
        check(caller.body == wholeBody(caller), answer.request,
              "the answer is incomplete or contains another request's data");
        break;
    case Outcome::NotRun:
        check(runs == 0, answer.request, "reported as not run, but it ran");
        check(answer.retryAfter > Duration(0), answer.request, "no Retry-After");
        [[fallthrough]];
    case Outcome::Unknown:
        check(caller.body.empty(), answer.request, "a part of an answer was forwarded");
        break;
    case Outcome::Truncated:
        check(!caller.body.empty(), answer.request, "nothing was forwarded");
        break;
    }
}

std::string RoutingWorld::wholeBody(const Caller &caller)
{
    // The number of parts follows from the size of the body that was received; the comparison
    // detects parts of other requests and parts out of order.
    std::string whole;
    for (std::size_t part = 0; whole.size() < caller.body.size(); ++part) {
        whole += answerPart(caller.request.id, part);
    }
    return whole.empty() ? "an answer has at least one part" : whole;
}

const RoutingWorld::Caller &RoutingWorld::callerOf(const Step &step) const
{
    const auto found = this->callers.find(RequestId(static_cast<std::uint64_t>(step.number(0))));
    step.require(found != this->callers.end(), "no such request");
    return found->second;
}

//==============================================================================
void RoutingWorld::expectEach(const Step &step) const
{
    std::map<std::string, std::int64_t, std::less<>> seen;
    for (const auto &[id, caller] : this->callers) {
        ++seen[std::string(nameOf(caller.answer))];
        const Duration within = step.durationOption("refused-within", hours(1));
        const bool refused = caller.answer && caller.answer->outcome == Outcome::NotRun;
        step.require(!refused || caller.endedAt - caller.arrivedAt <= within,
                     "a refusal was reported too late");
    }
    for (const std::string_view name : { "answered", "not-run", "unknown", "truncated", "open" }) {
        const std::int64_t count = seen[std::string(name)];
        const std::string text = std::string(name) + ": " + std::to_string(count);
        step.require(step.numberOption(name, count) == count, text);
        const std::string least = std::string("least-") + std::string(name);
        step.require(step.numberOption(least, 0) <= count, text);
    }
}

void RoutingWorld::expectRetrySpread(const Step &step) const
{
    std::vector<Duration> times;
    for (const auto &[id, caller] : this->callers) {
        if (caller.answer && caller.answer->outcome == Outcome::NotRun) {
            times.push_back(caller.endedAt.time_since_epoch() + caller.answer->retryAfter);
        }
    }
    step.require(times.size() >= 2, "too few refusals");
    const auto [first, last] = std::minmax_element(times.begin(), times.end());
    step.require(*last - *first >= step.duration(0), "the retry times span a shorter interval");
    std::map<std::int64_t, std::size_t> perSecond;
    for (const Duration time : times) {
        ++perSecond[duration_cast<seconds>(time).count()];
    }
    for (const auto &[second, count] : perSecond) {
        const auto share = static_cast<std::int64_t>(count * 100 / times.size());
        step.require(share <= step.numberOption("most-percent-a-second", 100),
                     std::to_string(share) + " % of the retries fall into one second");
    }
}

} // namespace bulrush::routing
