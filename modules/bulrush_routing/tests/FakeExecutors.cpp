#include "FakeExecutors.h"

#include "bulrush_core/errors/Error.h"

#include <algorithm>
#include <array>

namespace bulrush::routing {

Behaviour::Kind behaviourNamed(std::string_view name)
{
    static constexpr std::array<std::string_view, 8> names {
        "answer", "refuse", "unreachable", "hang-connect", "close", "cut", "silent", "mixed",
    };
    const auto found = std::find(names.begin(), names.end(), name);
    if (found == names.end()) {
        throw Error("behave", name, "unknown behaviour");
    }
    return static_cast<Behaviour::Kind>(found - names.begin());
}

std::string answerPart(RequestId request, std::size_t part)
{
    constexpr std::size_t repeats = 40;
    const std::string piece =
            std::to_string(static_cast<std::uint64_t>(request)) + "/" + std::to_string(part) + ";";
    std::string text;
    for (std::size_t i = 0; i < repeats; ++i) {
        text += piece;
    }
    return text;
}

FakeExecutors::FakeExecutors(Router &routerToFeed, ManualClock &sharedClock,
                             Forward forwardToCaller)
    : router(routerToFeed)
    , clock(sharedClock)
    , forward(std::move(forwardToCaller))
{
}

void FakeExecutors::setBehaviour(const std::string &target, const Behaviour &behaviour)
{
    this->behaviours[target] = behaviour;
}

void FakeExecutors::silence(const std::string &target, ConnectionIndex connection)
{
    this->silent.emplace(target, connection);
}

void FakeExecutors::carryOut(const Send &send)
{
    const Link link { send.target.name(), send.connection };
    if (!this->busy.emplace(link, send.attempt).second) {
        throw Error("send", send.target.name(), "the connection already carries a request");
    }
    this->sent.push_back(send);
    Behaviour behaviour = this->behaviours[send.target.name()];
    if (this->silent.contains(link)) {
        behaviour.kind = Behaviour::Kind::Silent;
    } else if (behaviour.kind == Behaviour::Kind::Mixed) {
        behaviour = this->drawBehaviour();
    }
    this->perform(send, behaviour);
}

void FakeExecutors::carryOut(const Abandon &abandon)
{
    const Link link { abandon.target.name(), abandon.connection };
    this->silent.erase(link);
    const auto found = this->busy.find(link);
    if (found == this->busy.end() || found->second != abandon.attempt) {
        throw Error("abandon", abandon.target.name(), "the connection carries another attempt");
    }
    this->busy.erase(found);
}

void FakeExecutors::carryOut(const CloseIdle &close)
{
    const Link link { close.target.name(), close.connection };
    if (this->busy.contains(link)) {
        throw Error("close idle", close.target.name(), "the connection carries a request");
    }
    this->silent.erase(link);
}

void FakeExecutors::perform(const Send &send, const Behaviour &behaviour)
{
    using Kind = Behaviour::Kind;
    const TargetReport report { {}, behaviour.leaving };
    if (behaviour.kind == Kind::Unreachable) {
        this->schedule(behaviour.after, [this, send] {
            this->releaseLink(send);
            this->router.sendFailedBeforeAnyByte(send.attempt, this->clock.now());
        });
        return;
    }
    if (behaviour.kind == Kind::HangConnect) {
        return;
    }
    this->router.sendStarted(send.attempt);
    if (behaviour.kind == Kind::Refuse) {
        this->schedule(behaviour.after, [this, send, report] {
            this->releaseLink(send);
            this->router.refusedBeforeStart(send.attempt, report, this->clock.now());
        });
        return;
    }
    ++this->runs[send.request];
    if (behaviour.kind == Kind::Answer) {
        this->answer(send, behaviour, behaviour.parts, true);
    } else if (behaviour.kind == Kind::Cut) {
        this->answer(send, behaviour, behaviour.parts / 2, false);
    } else if (behaviour.kind == Kind::Close) {
        this->answer(send, behaviour, 0, false);
    }
}

void FakeExecutors::answer(const Send &send, const Behaviour &behaviour, std::size_t parts,
                           bool whole)
{
    const std::string &target = send.target.name();
    ++this->loads[target];
    if (parts > 0) {
        this->schedule(behaviour.after, [this, send, behaviour] {
            const AnswerHead head { { this->loads[send.target.name()], behaviour.leaving }, false };
            this->router.answerHead(send.attempt, head, this->clock.now());
        });
    }
    Duration delay = behaviour.after;
    for (std::size_t part = 0; part < parts; ++part) {
        this->schedule(delay += behaviour.gap, [this, send, part] {
            if (const auto caller = this->router.answerBody(send.attempt, this->clock.now())) {
                this->forward(*caller, answerPart(send.request, part));
                this->router.answerForwarded(*caller);
            }
        });
    }
    this->schedule(delay + behaviour.gap, [this, send, whole] {
        --this->loads[send.target.name()];
        this->releaseLink(send);
        if (whole) {
            this->router.answerComplete(send.attempt, this->clock.now());
        } else {
            this->router.attemptLost(send.attempt, this->clock.now());
        }
    });
}

Behaviour FakeExecutors::drawBehaviour()
{
    using Kind = Behaviour::Kind;
    static constexpr std::array kinds {
        Kind::Refuse, Kind::Unreachable, Kind::HangConnect, Kind::Close, Kind::Cut, Kind::Silent,
    };
    std::uniform_int_distribution<std::size_t> draw(0, 99);
    Behaviour behaviour;
    behaviour.after = milliseconds(1 + draw(this->random) * draw(this->random) / 60);
    behaviour.parts = 1 + draw(this->random) % 6;
    const std::size_t percentile = draw(this->random);
    behaviour.kind = percentile < 2 * kinds.size() ? kinds[percentile / 2] : Kind::Answer;
    return behaviour;
}

void FakeExecutors::releaseLink(const Send &send)
{
    const auto found = this->busy.find({ send.target.name(), send.connection });
    if (found != this->busy.end() && found->second == send.attempt) {
        this->busy.erase(found);
    }
}

void FakeExecutors::schedule(Duration delay, std::function<void()> event)
{
    this->events.emplace(this->clock.now() + delay, std::move(event));
}

std::optional<Instant> FakeExecutors::nextDue() const
{
    return this->events.empty() ? std::nullopt : std::optional(this->events.begin()->first);
}

void FakeExecutors::runNext()
{
    const auto event = std::move(this->events.begin()->second);
    this->events.erase(this->events.begin());
    event();
}

unsigned FakeExecutors::runsOf(RequestId request) const
{
    const auto found = this->runs.find(request);
    return found == this->runs.end() ? 0 : found->second;
}

std::size_t FakeExecutors::sendsTo(const std::string &target) const
{
    return static_cast<std::size_t>(
            std::count_if(this->sent.begin(), this->sent.end(),
                          [&target](const Send &send) { return send.target.name() == target; }));
}

} // namespace bulrush::routing
