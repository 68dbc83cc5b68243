#include "bulrush_node/keys/KeyClaimHandler.h"

#include <array>

namespace bulrush {

namespace {

constexpr std::string_view keysStream = "keys";

/** Limits a node to 25 appends of claims per second; claims that wait share one append. */
constexpr Duration appendPeriod = milliseconds(40);

/** Maximum time to wait for the log to confirm a claim. */
constexpr Duration claimWait = seconds(1);
constexpr Duration tickPeriod = milliseconds(100);

/** Indexed by KeyAnswerKind. */
constexpr std::array decisions {
    KeyDecision::MaySend,   KeyDecision::NotRun,  KeyDecision::Unknown,   KeyDecision::Unknown,
    KeyDecision::Duplicate, KeyDecision::Unknown, KeyDecision::Malformed,
};

SendResult sendResultOf(KeyedRequestEnd::Outcome outcome)
{
    switch (outcome) {
    case KeyedRequestEnd::Outcome::NotSent:
        return SendResult::NeverSent;
    case KeyedRequestEnd::Outcome::Answered:
        return SendResult::Answered;
    case KeyedRequestEnd::Outcome::Unknown:
        break;
    }
    return SendResult::Unknown;
}

} // namespace

KeyClaimHandler::KeyClaimHandler(EventLoop &owningLoop, const Clock &runtimeClock, Log &platformLog,
                                 const KeyClaimSettings &claimSettings, NodeMetrics &nodeMetrics,
                                 std::function<void(KeyClaimResult)> replyFunction)
    : loop(owningLoop)
    , clock(runtimeClock)
    , log(platformLog)
    , settings(claimSettings)
    , metrics(nodeMetrics)
    , reply(std::move(replyFunction))
    , admission(claimSettings.times, claimWait)
    , reader(owningLoop, runtimeClock, platformLog, keysStream, claimSettings.poll, *this)
{
}

void KeyClaimHandler::start()
{
    this->reader.start();
    this->loop.scheduleEvery(tickPeriod, [this] {
        this->admission.tick(this->clock.now(), this->clock.calendarTime());
        this->progress();
    });
}

void KeyClaimHandler::claim(const KeyClaim &claim)
{
    const std::string name = this->arrivalName(claim.arrival);
    this->arrivals[name] = claim.arrival;
    this->admission.addArrival(name, claim.key, claim.firstTry, this->clock.now(),
                               this->clock.calendarTime());
    this->progress();
}

void KeyClaimHandler::end(const KeyedRequestEnd &end)
{
    const std::string name = this->arrivalName(end.arrival);
    this->arrivals.erase(name);
    this->admission.requestEnded(name, sendResultOf(end.outcome), end.status);
    this->progress();
}

void KeyClaimHandler::pageRead(const LogPage &page, Instant /*sentAt*/)
{
    for (const LogEntry &entry : page.entries) {
        this->admission.applyEntry(entry.offset, entry.text, this->clock.calendarTime());
    }
    this->admission.setLogRange(page.firstRetained, page.end, this->clock.calendarTime());
    this->progress();
}

void KeyClaimHandler::availabilityChanged(bool available)
{
    this->admission.setLogAvailable(available);
    this->progress();
}

std::string KeyClaimHandler::arrivalName(ArrivalId arrival) const
{
    return this->settings.process + "-" + std::to_string(arrival);
}

void KeyClaimHandler::progress()
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

void KeyClaimHandler::appendNext()
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

void KeyClaimHandler::deliver(const KeyAnswer &answer)
{
    const auto found = this->arrivals.find(answer.arrival);
    if (found == this->arrivals.end()) {
        return;
    }
    KeyClaimResult verdict;
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
