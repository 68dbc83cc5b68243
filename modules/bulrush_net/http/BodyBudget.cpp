#include "bulrush_net/http/BodyBudget.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace bulrush {

namespace {

/** The share of the budget that is kept for small bodies. */
constexpr std::size_t smallShareDivisor = 4;

double toSeconds(Duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

BodyBudget::BodyBudget(std::size_t totalBytes)
    : total(totalBytes == 0 ? std::numeric_limits<std::size_t>::max() : totalBytes)
{
}

std::size_t BodyBudget::limitFor(std::size_t bytes) const
{
    return bytes <= smallBytes ? this->total : this->total - this->total / smallShareDivisor;
}

BodyBudget::Decision BodyBudget::announce(UploadId id, std::size_t bytes, Instant now)
{
    Decision decision;
    if (!this->canHold(bytes)) {
        return decision;
    }
    const std::size_t room = this->limitFor(bytes) - bytes * copies;
    std::size_t kept = this->reserved;
    for (const UploadId slow :
         kept <= room ? std::vector<UploadId>() : this->displaceableBy(bytes, now)) {
        kept -= this->uploads.at(slow).announced * copies;
        decision.displaced.push_back(slow);
        if (kept <= room) {
            break;
        }
    }
    decision.admitted = kept <= room;
    if (!decision.admitted) {
        decision.displaced.clear();
        return decision;
    }
    for (const UploadId slow : decision.displaced) {
        this->release(slow);
    }
    this->uploads[id] = { bytes, 0, now, false };
    this->reserved += bytes * copies;
    return decision;
}

std::vector<BodyBudget::UploadId> BodyBudget::displaceableBy(std::size_t bytes, Instant now) const
{
    std::vector<std::pair<double, UploadId>> byRate;
    for (const auto &[id, upload] : this->uploads) {
        const Duration age = now - upload.since;
        const bool largerThanSmall = bytes <= smallBytes && upload.announced > smallBytes;
        if (!upload.complete && (largerThanSmall || age >= displaceableAge)) {
            // One more millisecond keeps the rate of an upload that has just begun finite.
            const double elapsed = toSeconds(age + milliseconds(1));
            byRate.emplace_back(static_cast<double>(upload.received) / elapsed, id);
        }
    }
    std::sort(byRate.begin(), byRate.end());
    std::vector<UploadId> slowestFirst;
    for (const auto &[rate, id] : byRate) {
        slowestFirst.push_back(id);
    }
    return slowestFirst;
}

void BodyBudget::received(UploadId id, std::size_t bytes)
{
    const auto found = this->uploads.find(id);
    if (found != this->uploads.end()) {
        found->second.received += bytes;
    }
}

void BodyBudget::completed(UploadId id)
{
    const auto found = this->uploads.find(id);
    if (found != this->uploads.end()) {
        found->second.complete = true;
    }
}

void BodyBudget::release(UploadId id)
{
    const auto found = this->uploads.find(id);
    if (found != this->uploads.end()) {
        this->reserved -= found->second.announced * copies;
        this->uploads.erase(found);
    }
}

std::vector<BodyBudget::UploadId> BodyBudget::overdue(Instant now) const
{
    std::vector<UploadId> slow;
    for (const auto &[id, upload] : this->uploads) {
        const double counted = toSeconds(now - upload.since - rateGrace);
        const double due = counted * static_cast<double>(minBytesPerSecond);
        if (!upload.complete && static_cast<double>(upload.received) < due) {
            slow.push_back(id);
        }
    }
    return slow;
}

} // namespace bulrush
