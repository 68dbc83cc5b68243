#pragma once

#include "bulrush_entry/front/StoreHealth.h"
#include "bulrush_entry/node/EntryMetrics.h"

namespace bulrush {

/** Forwards calls to the store and records their outcomes in the node's health and metrics. */
class ObservedStore : public KeyedLog, public MemberGroup
{
public:
    ObservedStore(const Clock &clock, KeyedLog &log, MemberGroup &group, StoreHealth &health,
                  EntryMetrics &metrics);

    LogLimits limits() const override { return this->log.limits(); }
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
    void recordCall(const char *call, StoreOutcome outcome, Instant sentAt);

    const Clock &clock;
    KeyedLog &log;
    MemberGroup &group;
    StoreHealth &health;
    EntryMetrics &metrics;
};

} // namespace bulrush
