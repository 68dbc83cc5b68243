#include "bulrush_keys/book/KeyBook.h"

#include <algorithm>

namespace bulrush {

void KeyBook::apply(std::uint64_t offset, std::string_view text, UnixSeconds calendar)
{
    if (offset < this->next) {
        return;
    }
    if (offset > this->next) {
        this->gapOpen = true;
    }
    this->next = offset + 1;
    const std::optional<KeyEntry> entry = KeyEntry::parse(text);
    if (!entry) {
        return;
    }
    if (this->gapOpen) {
        if (entry->writtenAt >= this->oldestKept(calendar)) {
            this->doubtAll(calendar);
        }
        this->gapOpen = false;
    }
    for (const KeyOperation &operation : entry->operations) {
        this->applyOperation(operation);
    }
}

void KeyBook::noteEnd(std::uint64_t firstRetained, std::uint64_t logEnd, UnixSeconds calendar)
{
    if (firstRetained > this->next) {
        this->gapOpen = true;
        this->next = firstRetained;
    }
    if (this->gapOpen && this->next >= logEnd) {
        this->doubtAll(calendar);
        this->gapOpen = false;
    }
    this->end = logEnd;
    this->endKnown = true;
}

KeyView KeyBook::view(const IdempotencyKey &key, UnixSeconds calendar) const
{
    if (key.issuedAt > calendar + this->times.clockAllowance.count()) {
        return { KeyStanding::TooNew, "", 0 };
    }
    const auto found = this->entries.find({ key.issuedAt, key.text });
    if (found != this->entries.end() && !found->second.arrival.empty()) {
        const Entry &entry = found->second;
        return { entry.completed ? KeyStanding::Completed : KeyStanding::Claimed, entry.arrival,
                 entry.status };
    }
    if (!this->isCovered(key) || key.issuedAt < calendar - this->times.lifetime.count()) {
        return { KeyStanding::TooOld, "", 0 };
    }
    return {};
}

void KeyBook::forgetOld(UnixSeconds calendar)
{
    const UnixSeconds oldest = this->oldestKept(calendar);
    while (!this->entries.empty() && this->entries.begin()->first.first < oldest) {
        this->forgetFirst();
    }
}

void KeyBook::applyOperation(const KeyOperation &operation)
{
    const std::optional<IdempotencyKey> key = IdempotencyKey::parse(operation.key);
    if (!key) {
        return;
    }
    Entry &entry = this->entries[{ key->issuedAt, key->text }];
    const bool holds = entry.arrival == operation.arrival;
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
            entry.arrival = holds ? std::string() : entry.arrival;
        }
        break;
    case KeyVerb::Complete:
        if (holds && !entry.completed) {
            entry.completed = true;
            entry.status = operation.status;
        }
        break;
    }
    if (this->entries.size() > maxKeys) {
        this->forgetFirst();
    }
}

/** Returns the issue time before which a key is past its lifetime on every node's clock. */
UnixSeconds KeyBook::oldestKept(UnixSeconds calendar) const
{
    return calendar - this->times.lifetime.count() - 2 * this->times.clockAllowance.count();
}

/** Raises the floor above every key that may have been claimed so far. */
void KeyBook::doubtAll(UnixSeconds calendar)
{
    this->floor = std::max(this->floor, calendar + 2 * this->times.clockAllowance.count() + 1);
}

void KeyBook::forgetFirst()
{
    this->floor = std::max(this->floor, this->entries.begin()->first.first + 1);
    this->entries.erase(this->entries.begin());
}

} // namespace bulrush
