#include "bulrush_entry/node/ObservedStore.h"

namespace bulrush {

ObservedStore::ObservedStore(const Clock &systemClock, KeyedLog &keyedLog, MemberGroup &memberGroup,
                             StoreHealth &storeHealth, EntryMetrics &entryMetrics)
    : clock(systemClock)
    , log(keyedLog)
    , group(memberGroup)
    , health(storeHealth)
    , metrics(entryMetrics)
{
}

void ObservedStore::recordCall(const char *call, StoreOutcome outcome, Instant sentAt)
{
    this->health.recordOutcome(call, outcome);
    this->metrics.recordStoreCall(call, outcome, this->clock.now() - sentAt);
}

void ObservedStore::append(LogStream stream, const std::vector<KeyedRecord> &records,
                           const std::optional<WriterMark> &mark, Duration timeout,
                           std::function<void(AppendAnswer)> callback)
{
    const Instant sentAt = this->clock.now();
    this->log.append(stream, records, mark, timeout,
                     [this, sentAt, callback = std::move(callback)](const AppendAnswer &result) {
                         this->recordCall("append", result.outcome, sentAt);
                         callback(result);
                     });
}

void ObservedStore::read(LogStream stream, LogOffset from, milliseconds wait, Duration timeout,
                         std::function<void(ReadResult)> callback)
{
    const Instant sentAt = this->clock.now();
    this->log.read(stream, from, wait, timeout,
                   [this, sentAt, callback = std::move(callback)](ReadResult result) {
                       this->recordCall("read", result.outcome, sentAt);
                       callback(std::move(result));
                   });
}

void ObservedStore::newest(LogStream stream, std::string_view afterKey, Duration timeout,
                           std::function<void(NewestResult)> callback)
{
    const Instant sentAt = this->clock.now();
    this->log.newest(stream, afterKey, timeout,
                     [this, sentAt, callback = std::move(callback)](NewestResult result) {
                         this->recordCall("newest", result.outcome, sentAt);
                         callback(std::move(result));
                     });
}

void ObservedStore::join(const std::string &member, std::uint64_t generation,
                         milliseconds timeToLive, Duration timeout,
                         std::function<void(Membership)> callback)
{
    const Instant sentAt = this->clock.now();
    this->group.join(member, generation, timeToLive, timeout,
                     [this, sentAt, callback = std::move(callback)](const Membership &membership) {
                         this->recordCall("join", membership.outcome, sentAt);
                         callback(membership);
                     });
}

void ObservedStore::leave(const std::string &member, Duration timeout,
                          std::function<void(StoreOutcome)> callback)
{
    const Instant sentAt = this->clock.now();
    this->group.leave(member, timeout,
                      [this, sentAt, callback = std::move(callback)](StoreOutcome outcome) {
                          this->recordCall("leave", outcome, sentAt);
                          callback(outcome);
                      });
}

void ObservedStore::findHolder(Duration timeout, std::function<void(PartitionHolder)> callback)
{
    const Instant sentAt = this->clock.now();
    this->group.findHolder(
            timeout, [this, sentAt, callback = std::move(callback)](const PartitionHolder &holder) {
                this->recordCall("holder", holder.outcome, sentAt);
                callback(holder);
            });
}

} // namespace bulrush
