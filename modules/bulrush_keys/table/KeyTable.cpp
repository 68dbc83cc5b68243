#include "bulrush_keys/table/KeyTable.h"

#include <algorithm>

namespace bulrush {

void KeyTable::apply(std::uint64_t offset, std::string_view text, UnixSeconds calendar)
{
    if (offset < this->next) {
        return;
    }
    if (offset > this->next) {
        this->hasGap = true;
    }
    this->next = offset + 1;
    const std::optional<KeyEntry> entry = KeyEntry::parse(text);
    if (!entry) {
        return;
    }
    if (this->hasGap) {
        if (entry->writtenAt >= this->expiryCutoff(calendar)) {
            this->raiseMinIssueTime(calendar);
        }
        this->hasGap = false;
    }
    for (const KeyOperation &operation : entry->operations) {
        this->applyOperation(operation);
    }
}

void KeyTable::setLogRange(std::uint64_t firstRetained, std::uint64_t logEnd, UnixSeconds calendar)
{
    if (firstRetained > this->next) {
        this->hasGap = true;
        this->next = firstRetained;
    }
    if (this->hasGap && this->next >= logEnd) {
        this->raiseMinIssueTime(calendar);
        this->hasGap = false;
    }
    this->end = logEnd;
    this->endKnown = true;
}

KeyView KeyTable::view(const IdempotencyKey &key, UnixSeconds calendar) const
{
    if (key.issuedAt > calendar + this->times.clockAllowance.count()) {
        return { KeyState::TooNew, "", 0 };
    }
    const auto found = this->entries.find({ key.issuedAt, key.text });
    if (found != this->entries.end() && !found->second.arrival.empty()) {
        const Entry &entry = found->second;
        return { entry.completed ? KeyState::Completed : KeyState::Claimed, entry.arrival,
                 entry.status };
    }
    if (!this->isCovered(key) || key.issuedAt < calendar - this->times.lifetime.count()) {
        return { KeyState::TooOld, "", 0 };
    }
    return {};
}

void KeyTable::evictExpired(UnixSeconds calendar)
{
    const UnixSeconds oldest = this->expiryCutoff(calendar);
    while (!this->entries.empty() && this->entries.begin()->first.first < oldest) {
        this->evictOldest();
    }
}

void KeyTable::applyOperation(const KeyOperation &operation)
{
    const std::optional<IdempotencyKey> key = IdempotencyKey::parse(operation.key);
    if (!key) {
        return;
    }
    Entry &entry = this->entries[{ key->issuedAt, key->text }];
    const bool isHolder = entry.arrival == operation.arrival;
    const bool isReleased =
            std::find(entry.released.begin(), entry.released.end(), operation.arrival)
            != entry.released.end();
    switch (operation.verb) {
    case KeyVerb::Claim:
        if (entry.arrival.empty() && !isReleased) {
            entry.arrival = operation.arrival;
        }
        break;
    case KeyVerb::Release:
        if (!isReleased && !entry.completed && entry.released.size() < maxReleased) {
            entry.released.push_back(operation.arrival);
            entry.arrival = isHolder ? std::string() : entry.arrival;
        }
        break;
    case KeyVerb::Complete:
        if (isHolder && !entry.completed) {
            entry.completed = true;
            entry.status = operation.status;
        }
        break;
    }
    if (this->entries.size() > maxKeys) {
        this->evictOldest();
    }
}

/** Returns the issue time before which a key has expired on every node's clock. */
UnixSeconds KeyTable::expiryCutoff(UnixSeconds calendar) const
{
    return calendar - this->times.lifetime.count() - 2 * this->times.clockAllowance.count();
}

/** Raises minIssueTime above the issue time of every key that may have been claimed so far. */
void KeyTable::raiseMinIssueTime(UnixSeconds calendar)
{
    this->minIssueTime =
            std::max(this->minIssueTime, calendar + 2 * this->times.clockAllowance.count() + 1);
}

void KeyTable::evictOldest()
{
    this->minIssueTime = std::max(this->minIssueTime, this->entries.begin()->first.first + 1);
    this->entries.erase(this->entries.begin());
}

} // namespace bulrush
