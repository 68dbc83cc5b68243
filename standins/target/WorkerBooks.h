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
    What a worker runs and has run. Every call takes the time, which must not go back. Not safe for
    concurrent use.
*/
class WorkerBooks
{
public:
    /** @param incarnation distinct for each start of the worker's process */
    WorkerBooks(Resources capacity, std::string incarnation);

    WorkerBooks(const WorkerBooks &) = delete;
    WorkerBooks &operator=(const WorkerBooks &) = delete;

    /**
        Applies an exchange: renewals, checkpoints, throttles, stops, forgets, then starts. One
        whose token is not greater than the last seen changes nothing. Sequence 0 only renews and
        is not compared. One that came after its validUntilMs, or that means another incarnation,
        renews and starts nothing.
    */
    ExchangeAnswer exchange(const ExchangeRequest &request, UnixMs now);

    /** Renews leases of running attempts and returns how many were. */
    std::size_t renew(std::span<const RenewOrder> orders, UnixMs now);

    /** While on, every start fails at once. */
    void failStarts(bool on) { this->failingStarts = on; }

    /** Returns how many starts were refused because they exceed the capacity. */
    std::uint64_t overCommits() const { return this->refusedStarts; }

    /** Returns every start that was ever applied, in order. */
    std::vector<RunRecord> runs(UnixMs now);

    const Resources &capacity() const { return this->total; }

private:
    void advance(UnixMs now);
    TaskRun *find(const AttemptId &id);
    void apply(const ExchangeRequest &request, UnixMs now);
    void start(const StartOrder &order, std::uint64_t epoch, UnixMs now);
    Resources committed() const;
    std::vector<InventoryEntry> inventory(UnixMs now) const;

    bool isValid(const ExchangeRequest &request, UnixMs now) const;

    const Resources total;
    const std::string incarnation;
    std::optional<FencingToken> lastToken;
    /** Every start ever applied, in order; never removed from. */
    std::vector<TaskRun> allRuns;
    std::map<AttemptId, std::size_t> indexes;
    std::set<AttemptId> unforgotten;
    std::uint64_t refusedStarts = 0;
    bool failingStarts = false;
};

} // namespace bulrush::standins
