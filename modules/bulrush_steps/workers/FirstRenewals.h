#pragma once

#include "bulrush_steps/workers/Worker.h"

#include <cstdint>
#include <map>

namespace bulrush {

class DecisionLog;

/** Logs once in each ownership how soon after its beginning the leases of the workers were renewed.
 */
class FirstRenewals
{
public:
    FirstRenewals(const Clock &clock, DecisionLog &decisions);

    /** Starts anew with the workers of an ownership.
        @param gainedAt when this node became the owner */
    void begin(std::uint64_t fencingToken, Instant gainedAt);

    /** Writes the line if it is due: once each worker that answers has its first renewal, or some
        seconds after begin().
        @param lapsed the number of runs that workers have listed as lapsed in this ownership */
    void update(const std::map<TargetId, Worker> &workers, std::uint64_t lapsed);

    Instant gainedAt() const { return this->ownerSince; }

private:
    const Clock &clock;
    DecisionLog &decisions;
    std::uint64_t token = 0;
    Instant ownerSince {};
    Instant begunAt {};
    bool written = true;
};

} // namespace bulrush
