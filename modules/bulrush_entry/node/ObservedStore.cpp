#include "bulrush_entry/node/ObservedStore.h"

#include "bulrush_core/events/DecisionLog.h"
#include "bulrush_steps/model/TaskText.h"

#include <utility>

namespace bulrush {

namespace {

/** A call is slow when it takes this much longer than the store was asked to wait. */
constexpr milliseconds slowCall { 500 };

constexpr std::string_view appendCall = "append";

/** Appends in a row that take longer show that the store is slow. A single one may have waited for
    the event loop of this node. */
constexpr milliseconds slowAppend { 100 };
constexpr int slowAppendsNeeded = 2;

/** A longer append may take long for its size alone. */
constexpr std::size_t maxSampleBytes = 64U << 10U;

} // namespace

ObservedStore::Size::Size(const std::vector<KeyedRecord> &keyedRecords)
    : records(keyedRecords.size())
{
    for (const KeyedRecord &record : keyedRecords) {
        this->bytes += LogLimits::sizeInAppend(record);
    }
}

ObservedStore::ObservedStore(const Clock &systemClock, KeyedLog &keyedLog, MemberGroup &memberGroup,
                             StoreHealth &storeHealth, EntryMetrics &entryMetrics,
                             DecisionLog &decisionLog)
    : clock(systemClock)
    , log(keyedLog)
    , group(memberGroup)
    , health(storeHealth)
    , metrics(entryMetrics)
    , decisions(decisionLog)
{
}

void ObservedStore::recordCall(const Call &call, StoreOutcome outcome, const Size &size)
{
    const Duration elapsed = this->clock.now() - call.sentAt;
    this->health.recordOutcome(call.name, outcome);
    this->noteSpeed(call, outcome, size);
    this->metrics.recordStoreCall(call.name, outcome, elapsed);
    const bool failed = outcome == StoreOutcome::Unknown || outcome == StoreOutcome::Refused;
    if (!failed && elapsed <= call.wait + slowCall) {
        return;
    }
    this->decisions.write(DecisionLine(Event::StoreCallSlow)
                                  .with("call", call.name)
                                  .with("stream", call.stream ? text(*call.stream) : "none")
                                  .with("outcome", text(outcome))
                                  .with("elapsed_ms", duration_cast<milliseconds>(elapsed).count())
                                  .with("records", size.records)
                                  .with("bytes", size.bytes));
}

void ObservedStore::noteSpeed(const Call &call, StoreOutcome outcome, const Size &size)
{
    if (call.name != appendCall || outcome != StoreOutcome::Done || size.bytes > maxSampleBytes) {
        return;
    }
    const bool slow = this->clock.now() - call.sentAt > slowAppend;
    this->slowAppends = slow ? this->slowAppends + 1 : 0;
}

bool ObservedStore::takeSlowSign()
{
    if (this->slowAppends < slowAppendsNeeded) {
        return false;
    }
    this->slowAppends = 0;
    return true;
}

void ObservedStore::append(LogStream stream, const std::vector<KeyedRecord> &records,
                           const std::optional<WriterMark> &mark, Duration timeout,
                           std::function<void(AppendAnswer)> callback)
{
    const Call call { appendCall, stream, this->clock.now() };
    const Size size(records);
    this->log.append(
            stream, records, mark, timeout,
            [this, call, size, callback = std::move(callback)](const AppendAnswer &result) {
                this->recordCall(call, result.outcome, size);
                callback(result);
            });
}

void ObservedStore::read(LogStream stream, LogOffset from, milliseconds wait, Duration timeout,
                         std::function<void(ReadResult)> callback)
{
    const Call call { "read", stream, this->clock.now(), wait };
    this->log.read(stream, from, wait, timeout,
                   [this, call, callback = std::move(callback)](ReadResult result) {
                       this->recordCall(call, result.outcome, Size(result.records));
                       callback(std::move(result));
                   });
}

void ObservedStore::newest(LogStream stream, std::string_view afterKey, Duration timeout,
                           std::function<void(NewestResult)> callback)
{
    const Call call { "newest", stream, this->clock.now() };
    this->log.newest(stream, afterKey, timeout,
                     [this, call, callback = std::move(callback)](NewestResult result) {
                         this->recordCall(call, result.outcome, Size(result.records));
                         callback(std::move(result));
                     });
}

void ObservedStore::join(const std::string &member, std::uint64_t generation,
                         milliseconds timeToLive, Duration timeout,
                         std::function<void(Membership)> callback)
{
    const Call call { "join", std::nullopt, this->clock.now() };
    this->group.join(member, generation, timeToLive, timeout,
                     [this, call, callback = std::move(callback)](const Membership &membership) {
                         this->recordCall(call, membership.outcome, {});
                         callback(membership);
                     });
}

void ObservedStore::leave(const std::string &member, Duration timeout,
                          std::function<void(StoreOutcome)> callback)
{
    const Call call { "leave", std::nullopt, this->clock.now() };
    this->group.leave(member, timeout,
                      [this, call, callback = std::move(callback)](StoreOutcome outcome) {
                          this->recordCall(call, outcome, {});
                          callback(outcome);
                      });
}

void ObservedStore::findHolder(Duration timeout, std::function<void(PartitionHolder)> callback)
{
    const Call call { "holder", std::nullopt, this->clock.now() };
    this->group.findHolder(
            timeout, [this, call, callback = std::move(callback)](const PartitionHolder &holder) {
                this->recordCall(call, holder.outcome, {});
                callback(holder);
            });
}

} // namespace bulrush
