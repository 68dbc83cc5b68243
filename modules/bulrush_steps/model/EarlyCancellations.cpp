#include "bulrush_steps/model/EarlyCancellations.h"

#include <algorithm>

namespace bulrush {

void EarlyCancellations::add(const JobId &job, const Cancellation &cancellation, UnixMillis now)
{
    if (this->cancellations.size() >= this->nextDropCount) {
        this->dropExpired(now);
    }
    this->cancellations.insert_or_assign(job, cancellation);
}

bool EarlyCancellations::take(const JobId &job, UnixMillis acceptedAt)
{
    const auto found = this->cancellations.find(job);
    if (found == this->cancellations.end()) {
        return false;
    }
    const bool holds = found->second.holdsFor(acceptedAt);
    this->cancellations.erase(found);
    return holds;
}

bool EarlyCancellations::isFull(UnixMillis now) const
{
    if (this->cancellations.size() < maxCount) {
        return false;
    }
    const auto kept =
            std::count_if(this->cancellations.begin(), this->cancellations.end(),
                          [now](const auto &each) { return !each.second.hasExpired(now); });
    return static_cast<std::size_t>(kept) >= maxCount;
}

void EarlyCancellations::dropExpired(UnixMillis now)
{
    std::erase_if(this->cancellations,
                  [now](const auto &each) { return each.second.hasExpired(now); });
    this->nextDropCount = std::max(firstDropCount, 2 * this->cancellations.size());
}

} // namespace bulrush
