#include "bulrush_keys/admission/KeyAdmission.h"

#include <algorithm>
#include <utility>

namespace bulrush {

void KeyAdmission::addArrival(std::string_view arrival, std::string_view keyText, bool isFirstTry,
                              Instant now, UnixSeconds calendar)
{
    this->lastNow = now;
    const std::optional<IdempotencyKey> key = IdempotencyKey::parse(keyText);
    if (!key) {
        this->answer(arrival, KeyAnswerKind::MalformedKey,
                     "a key is \"<unix seconds of issue>-<letters and digits>\"");
        return;
    }
    if (!this->keyTable.isComplete()) {
        this->refuse(arrival, isFirstTry, "the keys stream is not read up to its end yet");
        return;
    }
    if (this->answerFromView(arrival, isFirstTry, this->keyTable.view(*key, calendar))) {
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
    this->openRequests.emplace(arrival, KeyedRequest(*key, isFirstTry, now + this->claimWait));
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
        const auto request = this->openRequests.find(operation.arrival);
        if (request != this->openRequests.end()) {
            request->second.markClaiming();
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
        // Repeating the operations is safe even if the entry was stored: duplicates have no effect.
        for (KeyOperation &operation : this->inFlight) {
            if (this->isRetryNeeded(operation)) {
                this->waiting.push_back(std::move(operation));
            }
        }
    }
    this->inFlight.clear();
}

void KeyAdmission::applyEntry(std::uint64_t offset, std::string_view text, UnixSeconds calendar)
{
    if (offset < this->keyTable.nextOffset()) {
        return;
    }
    this->keyTable.apply(offset, text, calendar);
    const std::optional<KeyEntry> entry = KeyEntry::parse(text);
    if (!entry) {
        return;
    }
    for (const KeyOperation &operation : entry->operations) {
        this->confirm(operation);
        const auto request = this->openRequests.find(operation.arrival);
        if (operation.verb == KeyVerb::Claim && request != this->openRequests.end()) {
            this->decide(request, calendar);
        }
    }
}

void KeyAdmission::setLogRange(std::uint64_t firstRetained, std::uint64_t end, UnixSeconds calendar)
{
    this->keyTable.setLogRange(firstRetained, end, calendar);
}

void KeyAdmission::setLogAvailable(bool available)
{
    this->logAvailable = available;
    if (available) {
        return;
    }
    for (auto request = this->openRequests.begin(); request != this->openRequests.end();) {
        request = this->close(request, "the log is not available");
    }
}

void KeyAdmission::requestEnded(std::string_view arrival, SendResult result, int status)
{
    const auto request = this->openRequests.find(arrival);
    if (request == this->openRequests.end()
        || request->second.state() != KeyedRequestState::Sending) {
        return;
    }
    request->second.endSend();
    if (result == SendResult::Answered) {
        this->enqueue(KeyVerb::Complete, request->second.key().text, arrival, status);
    } else if (result == SendResult::NeverSent) {
        this->enqueue(KeyVerb::Release, request->second.key().text, arrival, 0);
        this->answer(arrival, KeyAnswerKind::NotRun, "the target did not take the request");
    }
    this->openRequests.erase(request);
}

void KeyAdmission::tick(Instant now, UnixSeconds calendar)
{
    this->lastNow = now;
    for (auto request = this->openRequests.begin(); request != this->openRequests.end();) {
        if (now >= request->second.deadline()) {
            request = this->close(request, "the log was too slow");
        } else {
            ++request;
        }
    }
    this->keyTable.evictExpired(calendar);
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

/** Answers an arrival if its key is not free. @returns false if the key is free */
bool KeyAdmission::answerFromView(std::string_view arrival, bool isFirstTry, const KeyView &view)
{
    const KeyAnswerKind unknown =
            isFirstTry ? KeyAnswerKind::NotRun : KeyAnswerKind::OutcomeUnknown;
    switch (view.state) {
    case KeyState::Free:
        return false;
    case KeyState::Claimed:
        this->answer(arrival, KeyAnswerKind::InProgress, "held by arrival " + view.arrival);
        break;
    case KeyState::Completed:
        this->answer(arrival, KeyAnswerKind::AlreadyRun, "answered by arrival " + view.arrival,
                     view.status);
        break;
    case KeyState::TooOld:
        this->answer(arrival, unknown, "the key is too old");
        break;
    case KeyState::TooNew:
        this->answer(arrival, unknown, "the key is from the future");
        break;
    }
    return true;
}

/** Decides on an arrival whose claim was read back. */
void KeyAdmission::decide(OpenRequests::iterator request, UnixSeconds calendar)
{
    const IdempotencyKey &key = request->second.key();
    const KeyView view = this->keyTable.view(key, calendar);
    const bool isHolder = view.state == KeyState::Claimed && view.arrival == request->first;
    if (isHolder && this->keyTable.isCovered(key)) {
        if (request->second.beginSend()) {
            this->answer(request->first, KeyAnswerKind::Send, "");
        }
        return;
    }
    if (request->second.state() == KeyedRequestState::Sending) {
        return;
    }
    // If the holder's key is not covered, an earlier claim may have been missed: the outcome is as
    // uncertain as that of a key that is too old.
    const KeyView tooOld { KeyState::TooOld, "", 0 };
    if (this->answerFromView(request->first, request->second.isFirstTry(),
                             isHolder ? tooOld : view)) {
        this->removeRequest(request);
    }
}

/** Removes an arrival that is not to be sent. If its claim may be on the log or may still reach it,
    a release is queued. @returns the next arrival */
KeyAdmission::OpenRequests::iterator KeyAdmission::removeRequest(OpenRequests::iterator request)
{
    const std::string arrival = request->first;
    std::erase_if(this->waiting, [&arrival](const KeyOperation &operation) {
        return operation.arrival == arrival;
    });
    if (request->second.close()) {
        this->enqueue(KeyVerb::Release, request->second.key().text, arrival, 0);
    }
    return this->openRequests.erase(request);
}

/** Refuses and removes an arrival that was not sent. @returns the next arrival */
KeyAdmission::OpenRequests::iterator KeyAdmission::close(OpenRequests::iterator request,
                                                         std::string_view reason)
{
    if (request->second.state() == KeyedRequestState::Sending) {
        return std::next(request);
    }
    this->refuse(request->first, request->second.isFirstTry(), reason);
    return this->removeRequest(request);
}

void KeyAdmission::enqueue(KeyVerb verb, const std::string &key, std::string_view arrival,
                           int status)
{
    this->waiting.push_back({ verb, key, std::string(arrival), status });
    if (!this->lingerUntil) {
        this->lingerUntil = this->lastNow + this->pace.linger;
    }
}

/** Removes an operation that was read back, so that it is not appended again. */
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
    if (this->lastAppend && this->lastNow < *this->lastAppend + this->pace.minInterval) {
        return false;
    }
    const auto isClaim = [](const KeyOperation &operation) {
        return operation.verb == KeyVerb::Claim;
    };
    return !this->lingerUntil || this->lastNow >= *this->lingerUntil
            || std::any_of(this->waiting.begin(), this->waiting.end(), isClaim);
}

bool KeyAdmission::isRetryNeeded(const KeyOperation &operation) const
{
    if (operation.verb != KeyVerb::Claim) {
        return true;
    }
    const auto request = this->openRequests.find(operation.arrival);
    return request != this->openRequests.end()
            && request->second.state() == KeyedRequestState::Claiming;
}

} // namespace bulrush
