#include "bulrush_node/keys/KeyDesk.h"

#include <array>

namespace bulrush {

namespace {

constexpr std::string_view keysStream = "keys";

/** Keeps a node's appends of claims to 25 a second; claims that wait share one. */
constexpr Duration appendPeriod = milliseconds(40);

/** How long a claim may take; a log this slow is no longer waited for. */
constexpr Duration claimWait = seconds(1);
constexpr Duration tickPeriod = milliseconds(100);

/** One row a KeyAnswerKind, in its order. */
constexpr std::array decisions {
    KeyDecision::MaySend,   KeyDecision::NotRun,  KeyDecision::Unknown,   KeyDecision::Unknown,
    KeyDecision::Duplicate, KeyDecision::Unknown, KeyDecision::Malformed,
};

SendResult sendResultOf(KeyEnd::Outcome outcome)
{
    switch (outcome) {
    case KeyEnd::Outcome::NotSent:
        return SendResult::NeverSent;
    case KeyEnd::Outcome::Answered:
        return SendResult::Answered;
    case KeyEnd::Outcome::Unknown:
        break;
    }
    return SendResult::Unknown;
}

} // namespace

KeyDesk::KeyDesk(EventLoop &owningLoop, const Clock &runtimeClock, Log &platformLog,
                 const KeyDeskSettings &deskSettings, NodeMetrics &nodeMetrics,
                 std::function<void(KeyVerdict)> replyFunction)
    : loop(owningLoop)
    , clock(runtimeClock)
    , log(platformLog)
    , settings(deskSettings)
    , metrics(nodeMetrics)
    , reply(std::move(replyFunction))
    , admission(deskSettings.times, claimWait)
    , reader(owningLoop, runtimeClock, platformLog, keysStream, deskSettings.poll, *this)
{
}

void KeyDesk::start()
{
    this->reader.start();
    this->loop.scheduleEvery(tickPeriod, [this] {
        this->admission.tick(this->clock.now(), this->clock.calendarTime());
        this->progress();
    });
}

void KeyDesk::claim(const KeyClaim &claim)
{
    const std::string name = this->arrivalName(claim.arrival);
    this->arrivals[name] = claim.arrival;
    this->admission.arrive(name, claim.key, claim.firstTry, this->clock.now(),
                           this->clock.calendarTime());
    this->progress();
}

void KeyDesk::end(const KeyEnd &end)
{
    const std::string name = this->arrivalName(end.arrival);
    this->arrivals.erase(name);
    this->admission.ended(name, sendResultOf(end.outcome), end.status);
    this->progress();
}

void KeyDesk::pageRead(const LogPage &page, Instant /*sentAt*/)
{
    for (const LogEntry &entry : page.entries) {
        this->admission.applied(entry.offset, entry.text, this->clock.calendarTime());
    }
    this->admission.readEnded(page.firstRetained, page.end, this->clock.calendarTime());
    this->progress();
}

void KeyDesk::availabilityChanged(bool available)
{
    this->admission.setLogAvailable(available);
    this->progress();
}

std::string KeyDesk::arrivalName(ArrivalId arrival) const
{
    return this->settings.process + "-" + std::to_string(arrival);
}

void KeyDesk::progress()
{
    for (const KeyAnswer &answer : this->admission.takeAnswers()) {
        this->deliver(answer);
    }
    if (this->appendScheduled) {
        return;
    }
    const Instant due = this->appendedAt + appendPeriod;
    if (due <= this->clock.now()) {
        this->appendNext();
        return;
    }
    this->appendScheduled = true;
    this->loop.schedule(due - this->clock.now(), [this] {
        this->appendScheduled = false;
        this->appendNext();
    });
}

void KeyDesk::appendNext()
{
    std::optional<KeyAppend> append = this->admission.nextAppend(this->clock.calendarTime());
    if (!append) {
        return;
    }
    this->appendedAt = this->clock.now();
    this->metrics.count("bulrush_log_appends_total");
    const std::uint64_t number = append->number;
    this->log.append(keysStream, std::move(append->text),
                     [this, number](std::optional<LogOffset> offset) {
                         if (!offset) {
                             this->metrics.count("bulrush_log_append_failures_total");
                         }
                         this->admission.appendEnded(
                                 number, offset ? AppendResult::Stored : AppendResult::Lost);
                         this->progress();
                     });
}

void KeyDesk::deliver(const KeyAnswer &answer)
{
    const auto found = this->arrivals.find(answer.arrival);
    if (found == this->arrivals.end()) {
        return;
    }
    KeyVerdict verdict;
    verdict.arrival = found->second;
    verdict.decision = decisions.at(static_cast<std::size_t>(answer.kind));
    verdict.status = answer.status;
    verdict.reason = answer.reason;
    if (verdict.decision != KeyDecision::MaySend) {
        this->arrivals.erase(found);
    }
    this->reply(std::move(verdict));
}

} // namespace bulrush
