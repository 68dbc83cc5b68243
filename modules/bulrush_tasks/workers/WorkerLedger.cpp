#include "bulrush_tasks/workers/WorkerLedger.h"

#include <algorithm>

namespace bulrush {

void WorkerLedger::setCapacity(const Resources &capacity)
{
    this->total = capacity;
    this->known = true;
}

bool WorkerLedger::commit(const AttemptId &attempt, const Resources &need)
{
    if (this->held.contains(attempt)) {
        return false;
    }
    if (!need.fitsIn(this->free())) {
        return false;
    }
    this->adopt(attempt, need);
    return true;
}

void WorkerLedger::adopt(const AttemptId &attempt, const Resources &need)
{
    this->release(attempt);
    this->held[attempt] = need;
    this->used += need;
}

void WorkerLedger::release(const AttemptId &attempt)
{
    const auto found = this->held.find(attempt);
    if (found == this->held.end()) {
        return;
    }
    this->used -= found->second;
    this->held.erase(found);
}

Resources WorkerLedger::free() const
{
    if (!this->known) {
        return {};
    }
    if (!this->guards.checkCapacity) {
        return this->total;
    }
    const Resources left = this->total - this->used;
    return { std::max<std::int64_t>(left.cpuMilli, 0), std::max<std::int64_t>(left.memoryMb, 0),
             std::max<std::int64_t>(left.accelerators, 0) };
}

} // namespace bulrush
