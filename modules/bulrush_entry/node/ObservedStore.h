#pragma once

#include "bulrush_entry/front/StoreHealth.h"
#include "bulrush_entry/node/EntryMetrics.h"

#include <optional>
#include <string_view>
#include <vector>

namespace bulrush {

class DecisionLog;

/** Forwards calls to the store, records their outcomes in the node's health and metrics, and logs
    those that fail or are slow. */
class ObservedStore : public KeyedLog, public MemberGroup
{
public:
    ObservedStore(const Clock &clock, KeyedLog &log, MemberGroup &group, StoreHealth &health,
                  EntryMetrics &metrics, DecisionLog &decisions);

    LogLimits limits() const override { return this->log.limits(); }

    /** Returns whether since the last call appends have taken long enough to show that the store is
        slow. Refusals and lost answers are no such sign, since they may concern this node only. */
    bool takeSlowSign();
    void append(LogStream stream, const std::vector<KeyedRecord> &records,
                const std::optional<WriterMark> &mark, Duration timeout,
                std::function<void(AppendAnswer)> callback) override;
    void read(LogStream stream, LogOffset from, milliseconds wait, Duration timeout,
              std::function<void(ReadResult)> callback) override;
    void newest(LogStream stream, std::string_view afterKey, Duration timeout,
                std::function<void(NewestResult)> callback) override;
    void join(const std::string &member, std::uint64_t generation, milliseconds timeToLive,
              Duration timeout, std::function<void(Membership)> callback) override;
    void leave(const std::string &member, Duration timeout,
               std::function<void(StoreOutcome)> callback) override;
    void findHolder(Duration timeout, std::function<void(PartitionHolder)> callback) override;

private:
    /** A call that was sent. */
    struct Call
    {
        std::string_view name;
        std::optional<LogStream> stream;
        Instant sentAt {};
        /** How long the store was asked to wait. */
        milliseconds wait { 0 };
    };

    /** How much a call or its answer holds. */
    struct Size
    {
        explicit Size(const std::vector<KeyedRecord> &records);
        Size() = default;

        std::size_t records = 0;
        std::size_t bytes = 0;
    };

    /** Notes a call that shows that the store is slow. */
    void noteSpeed(const Call &call, StoreOutcome outcome, const Size &size);
    void recordCall(const Call &call, StoreOutcome outcome, const Size &size);

    const Clock &clock;
    KeyedLog &log;
    MemberGroup &group;
    StoreHealth &health;
    EntryMetrics &metrics;
    DecisionLog &decisions;
    /** Small appends in a row that were recorded slowly. */
    int slowAppends = 0;
};

} // namespace bulrush
