#pragma once

#include "standins/target/TaskRun.h"
#include "standins/target/WorkerMessages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace bulrush::standins {

/**
    The running and ended attempts of a worker. Every call takes the current time, which must not go
    back. Not safe for concurrent use.
*/
class AttemptRegistry
{
public:
    /** @param incarnation unique for each start of the worker process */
    AttemptRegistry(Resources capacity, std::string incarnation);

    AttemptRegistry(const AttemptRegistry &) = delete;
    AttemptRegistry &operator=(const AttemptRegistry &) = delete;

    /**
        Applies an exchange: renewals, checkpoints, throttles, stops, forgets, then starts. An
        exchange whose token is not greater than the last one seen changes nothing. An exchange with
        sequence 0 only renews, and its token is not compared. An exchange that arrives after its
        validUntilMs, or is addressed to another incarnation, renews and starts nothing.
    */
    ExchangeAnswer exchange(const ExchangeRequest &request, UnixMs now);

    /** Renews the leases of running attempts and returns the number renewed. */
    std::size_t renew(std::span<const RenewCommand> commands, UnixMs now);

    /** While on, every start fails immediately. */
    void failStarts(bool on) { this->failingStarts = on; }

    /** Returns the number of starts that failed because they exceeded the capacity. */
    std::uint64_t overCommits() const { return this->overCapacityStarts; }

    /** Returns every start that was applied, in order. */
    std::vector<RunRecord> runs(UnixMs now);

    const Resources &capacity() const { return this->total; }

private:
    void advance(UnixMs now);
    TaskRun *find(const AttemptId &id);
    void apply(const ExchangeRequest &request, UnixMs now);
    void start(const StartCommand &command, std::uint64_t epoch, UnixMs now);
    Resources committed() const;
    std::vector<InventoryEntry> inventory(UnixMs now) const;

    bool isValid(const ExchangeRequest &request, UnixMs now) const;

    const Resources total;
    const std::string incarnation;
    std::optional<FencingToken> lastToken;
    /** Every start that was applied, in order; entries are never removed. */
    std::vector<TaskRun> allRuns;
    std::map<AttemptId, std::size_t> indexById;
    std::set<AttemptId> inventoryIds;
    std::uint64_t overCapacityStarts = 0;
    bool failingStarts = false;
};

} // namespace bulrush::standins
