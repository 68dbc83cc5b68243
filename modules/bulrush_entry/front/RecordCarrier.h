#pragma once

#include "bulrush_appends/flow/AppendTimes.h"
#include "bulrush_steps/ports/KeyedLog.h"

#include <functional>

namespace bulrush {

/** A caller's record that is handed over to another node. */
struct HandedRecord
{
    KeyedRecord record;
    /** Whether it may be refused as soon as it is certain not to be recorded in time. */
    bool refusable = true;
    /** How long the sender can wait for the outcome. */
    Duration timeLeft {};
};

/** What became of a record that was handed over. */
struct HandedResult
{
    AppendResult result = AppendResult::Unknown;
    LogOffset offset = 0;
    /** With NotInTime: after which time a retry may succeed. */
    Duration retryAfter {};
    /** Whether the receiver did not even acknowledge the record. */
    bool unacknowledged = false;
};

/** Hands records over to the owner, which appends those of all nodes together. */
class RecordCarrier
{
public:
    using Callback = std::function<void(HandedResult)>;

    RecordCarrier() = default;
    virtual ~RecordCarrier() = default;
    RecordCarrier(const RecordCarrier &) = delete;
    RecordCarrier &operator=(const RecordCarrier &) = delete;

    /** Returns whether a record can be handed over now. Looks for the owner if it is not known. */
    virtual bool takesRecords() = 0;

    /** Hands a record over. The callback is called once, after this function has returned. */
    virtual void handOver(HandedRecord record, Callback callback) = 0;
};

} // namespace bulrush
