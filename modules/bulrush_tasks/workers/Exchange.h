#pragma once

#include "bulrush_core/ids/Id.h"
#include "bulrush_ownership/streams/FencedStream.h"
#include "bulrush_tasks/model/Task.h"

#include <string>
#include <string_view>
#include <vector>

namespace bulrush {

/** Extends the lease of a running attempt, counted from when the worker gets it. */
struct Renewal
{
    AttemptId attempt;
    std::int64_t leaseMs = 0;
};

/** Starts an attempt, unless the worker knows it already. */
struct StartCommand
{
    AttemptId attempt;
    TaskKind kind = TaskKind::Batch;
    Resources need;
    std::int64_t leaseMs = 0;
    std::int64_t runMs = 0;
    std::string checkpoint; ///< where to resume; empty for the beginning
};

struct ThrottleCommand
{
    AttemptId attempt;
    std::int64_t percent = 100;
};

/**
    What a node tells one worker.

    The worker refuses a sequence that is not greater than the last of the same epoch, and any
    smaller epoch. Sequence 0 is from a node that only renews: it is not compared and starts,
    stops and forgets nothing.
*/
struct ExchangeRequest
{
    NodeId node;
    GroupId group;
    Epoch epoch = 0;
    std::uint64_t sequence = 0;
    std::string incarnation; ///< the worker's, as it last answered
    std::int64_t validUntilMs = 0; ///< by the worker's clock; later, it renews and starts nothing
    std::vector<Renewal> renewals;
    std::vector<StartCommand> starts;
    std::vector<AttemptId> stops;
    std::vector<AttemptId> checkpoints;
    std::vector<ThrottleCommand> throttles;
    std::vector<AttemptId> forgets;
};

/** What a worker knows about an attempt. */
enum class AttemptState : std::uint8_t { Running, Finished, Stopped, Failed, Lapsed };

/** One attempt in a worker's books. */
struct InventoryItem
{
    AttemptId attempt;
    Epoch epoch = 0; ///< of the owner that started it
    AttemptState state = AttemptState::Running;
    Resources need;
    std::int64_t usageCpuMilli = 0;
    std::int64_t usageMemoryMb = 0;
    std::int64_t usageAgeMs = 0;
    std::string checkpoint; ///< the last that the attempt wrote
    std::string result;
};

/** What a worker answers. */
struct ExchangeAnswer
{
    VmId worker;
    bool accepted = false;
    Epoch epoch = 0; ///< the greatest that the worker has seen
    std::uint64_t sequence = 0; ///< the greatest that the worker has seen in that epoch
    std::string incarnation; ///< distinct for each start of the worker's process
    std::int64_t clockMs = 0; ///< the worker's monotonic clock
    bool leaving = false;
    Resources capacity;
    std::vector<InventoryItem> inventory;
};

/** Returns the JSON text of a request, and the request of a text. @throws Error when malformed */
std::string encode(const ExchangeRequest &request);
ExchangeRequest decodeExchangeRequest(std::string_view text);

/** Returns the JSON text of an answer, and the answer of a text. @throws Error when malformed */
std::string encode(const ExchangeAnswer &answer);
ExchangeAnswer decodeExchangeAnswer(std::string_view text);

} // namespace bulrush
