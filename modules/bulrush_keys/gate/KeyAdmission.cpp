#include "bulrush_keys/gate/KeyAdmission.h"

#include <algorithm>
#include <utility>

namespace bulrush {

void KeyAdmission::arrive(std::string_view arrival, std::string_view keyText, bool isFirstTry,
                          Instant now, UnixSeconds calendar)
{
    this->lastNow = now;
    const std::optional<IdempotencyKey> key = IdempotencyKey::parse(keyText);
    if (!key) {
        this->answer(arrival, KeyAnswerKind::BadKey,
                     "a key is \"<unix seconds of issue>-<letters and digits>\"");
        return;
    }
    if (!this->keyBook.isComplete()) {
        this->refuse(arrival, isFirstTry, "the keys stream is not read up to its end yet");
        return;
    }
    if (this->answerByView(arrival, isFirstTry, this->keyBook.view(*key, calendar))) {
        return;
    }
    if (!this->logAvailable) {
        this->refuse(arrival, isFirstTry, "the log is not available");
        return;
    }
    if (this->waiting.size() + this->inFlight.size() >= maxWaiting) {
        this->refuse(arrival, isFirstTry, "too many keyed requests wait");
        return;
    }
    this->gates.emplace(arrival, KeyGate(*key, isFirstTry, now + this->claimWait));
    this->enqueue(KeyVerb::Claim, key->text, arrival, 0);
}

std::optional<KeyAppend> KeyAdmission::nextAppend(UnixSeconds calendar)
{
    if (this->appending || !this->logAvailable || !this->isAppendDue()) {
        return std::nullopt;
    }
    const std::size_t count = std::min(this->waiting.size(), maxBatch);
    const auto last = this->waiting.begin() + static_cast<std::ptrdiff_t>(count);
    this->inFlight.assign(this->waiting.begin(), last);
    this->waiting.erase(this->waiting.begin(), last);
    for (const KeyOperation &operation : this->inFlight) {
        const auto gate = this->gates.find(operation.arrival);
        if (gate != this->gates.end()) {
            gate->second.ask();
        }
    }
    this->appending = true;
    this->lastAppend = this->lastNow;
    this->lingerUntil.reset();
    ++this->appendNumber;
    return KeyAppend { this->appendNumber, KeyEntry { calendar, this->inFlight }.text() };
}

void KeyAdmission::appendEnded(std::uint64_t number, AppendResult result)
{
    if (!this->appending || number != this->appendNumber) {
        return;
    }
    this->appending = false;
    if (result != AppendResult::Stored) {
        // Whether or not it took effect, a repetition is harmless.
        for (KeyOperation &operation : this->inFlight) {
            if (this->isStillWanted(operation)) {
                this->waiting.push_back(std::move(operation));
            }
        }
    }
    this->inFlight.clear();
}

void KeyAdmission::applied(std::uint64_t offset, std::string_view text, UnixSeconds calendar)
{
    if (offset < this->keyBook.nextOffset()) {
        return;
    }
    this->keyBook.apply(offset, text, calendar);
    const std::optional<KeyEntry> entry = KeyEntry::parse(text);
    if (!entry) {
        return;
    }
    for (const KeyOperation &operation : entry->operations) {
        this->confirm(operation);
        const auto gate = this->gates.find(operation.arrival);
        if (operation.verb == KeyVerb::Claim && gate != this->gates.end()) {
            this->judge(gate, calendar);
        }
    }
}

void KeyAdmission::readEnded(std::uint64_t firstRetained, std::uint64_t end, UnixSeconds calendar)
{
    this->keyBook.noteEnd(firstRetained, end, calendar);
}

void KeyAdmission::setLogAvailable(bool available)
{
    this->logAvailable = available;
    if (available) {
        return;
    }
    for (auto gate = this->gates.begin(); gate != this->gates.end();) {
        gate = this->close(gate, "the log is not available");
    }
}

void KeyAdmission::ended(std::string_view arrival, SendResult result, int status)
{
    const auto gate = this->gates.find(arrival);
    if (gate == this->gates.end() || gate->second.state() != GateState::Sending) {
        return;
    }
    gate->second.endSend();
    if (result == SendResult::Answered) {
        this->enqueue(KeyVerb::Complete, gate->second.key().text, arrival, status);
    } else if (result == SendResult::NeverSent) {
        this->enqueue(KeyVerb::Release, gate->second.key().text, arrival, 0);
        this->answer(arrival, KeyAnswerKind::NotRun, "the target did not take the request");
    }
    this->gates.erase(gate);
}

void KeyAdmission::tick(Instant now, UnixSeconds calendar)
{
    this->lastNow = now;
    for (auto gate = this->gates.begin(); gate != this->gates.end();) {
        if (now >= gate->second.deadline()) {
            gate = this->close(gate, "the log was too slow");
        } else {
            ++gate;
        }
    }
    this->keyBook.forgetOld(calendar);
}

std::vector<KeyAnswer> KeyAdmission::takeAnswers()
{
    return std::exchange(this->answers, {});
}

void KeyAdmission::answer(std::string_view arrival, KeyAnswerKind kind, std::string_view reason,
                          int status)
{
    this->answers.push_back({ kind, std::string(arrival), std::string(reason), status });
}

void KeyAdmission::refuse(std::string_view arrival, bool isFirstTry, std::string_view reason)
{
    this->answer(arrival, isFirstTry ? KeyAnswerKind::NotRun : KeyAnswerKind::NotSent, reason);
}

/** Answers from what the book says. @returns false when the key is free */
bool KeyAdmission::answerByView(std::string_view arrival, bool isFirstTry, const KeyView &view)
{
    const KeyAnswerKind unknown =
            isFirstTry ? KeyAnswerKind::NotRun : KeyAnswerKind::OutcomeUnknown;
    switch (view.standing) {
    case KeyStanding::Free:
        return false;
    case KeyStanding::Claimed:
        this->answer(arrival, KeyAnswerKind::InProgress, "held by arrival " + view.arrival);
        break;
    case KeyStanding::Completed:
        this->answer(arrival, KeyAnswerKind::AlreadyRun, "answered by arrival " + view.arrival,
                     view.status);
        break;
    case KeyStanding::TooOld:
        this->answer(arrival, unknown, "the key is too old");
        break;
    case KeyStanding::TooNew:
        this->answer(arrival, unknown, "the key is from the future");
        break;
    }
    return true;
}

/** Decides an arrival whose claim was read back. */
void KeyAdmission::judge(Gates::iterator gate, UnixSeconds calendar)
{
    const IdempotencyKey &key = gate->second.key();
    const KeyView view = this->keyBook.view(key, calendar);
    const bool holds = view.standing == KeyStanding::Claimed && view.arrival == gate->first;
    if (holds && this->keyBook.isCovered(key)) {
        if (gate->second.takeSend()) {
            this->answer(gate->first, KeyAnswerKind::Send, "");
        }
        return;
    }
    if (gate->second.state() == GateState::Sending) {
        return;
    }
    const KeyView doubtful { KeyStanding::TooOld, "", 0 };
    if (this->answerByView(gate->first, gate->second.isFirstTry(), holds ? doubtful : view)) {
        this->forget(gate);
    }
}

/** Drops an arrival that is not to be sent; releases its claim where that may still come. */
KeyAdmission::Gates::iterator KeyAdmission::forget(Gates::iterator gate)
{
    const std::string arrival = gate->first;
    std::erase_if(this->waiting, [&arrival](const KeyOperation &operation) {
        return operation.arrival == arrival;
    });
    if (gate->second.close()) {
        this->enqueue(KeyVerb::Release, gate->second.key().text, arrival, 0);
    }
    return this->gates.erase(gate);
}

/** Closes an arrival that was not handed out. @returns the next arrival */
KeyAdmission::Gates::iterator KeyAdmission::close(Gates::iterator gate, std::string_view reason)
{
    if (gate->second.state() == GateState::Sending) {
        return std::next(gate);
    }
    this->refuse(gate->first, gate->second.isFirstTry(), reason);
    return this->forget(gate);
}

void KeyAdmission::enqueue(KeyVerb verb, const std::string &key, std::string_view arrival,
                           int status)
{
    this->waiting.push_back({ verb, key, std::string(arrival), status });
    if (!this->lingerUntil) {
        this->lingerUntil = this->lastNow + this->pace.linger;
    }
}

/** Drops an operation that was read back from those that would be appended again. */
void KeyAdmission::confirm(const KeyOperation &operation)
{
    std::erase(this->waiting, operation);
    std::erase(this->inFlight, operation);
}

bool KeyAdmission::isAppendDue() const
{
    if (this->waiting.empty()) {
        return false;
    }
    if (this->lastAppend && this->lastNow < *this->lastAppend + this->pace.gap) {
        return false;
    }
    const auto isClaim = [](const KeyOperation &operation) {
        return operation.verb == KeyVerb::Claim;
    };
    return !this->lingerUntil || this->lastNow >= *this->lingerUntil
            || std::any_of(this->waiting.begin(), this->waiting.end(), isClaim);
}

bool KeyAdmission::isStillWanted(const KeyOperation &operation) const
{
    if (operation.verb != KeyVerb::Claim) {
        return true;
    }
    const auto gate = this->gates.find(operation.arrival);
    return gate != this->gates.end() && gate->second.state() == GateState::Asked;
}

} // namespace bulrush
