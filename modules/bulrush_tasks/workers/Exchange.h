#pragma once

#include "bulrush_core/ids/Id.h"
#include "bulrush_ownership/streams/FencedStream.h"
#include "bulrush_tasks/model/Task.h"

#include <string>
#include <string_view>
#include <vector>

namespace bulrush {

/** Renews the lease of a running attempt; the new lease starts when the worker receives it. */
struct Renewal
{
    AttemptId attempt;
    std::int64_t leaseMs = 0;
};

/** Starts an attempt, unless the worker has it in its inventory already. */
struct StartCommand
{
    AttemptId attempt;
    TaskKind kind = TaskKind::Batch;
    Resources need;
    std::int64_t leaseMs = 0;
    std::int64_t runMs = 0;
    std::string checkpoint; ///< where to resume; empty to start from the beginning
};

struct ThrottleCommand
{
    AttemptId attempt;
    std::int64_t percent = 100;
};

/**
    The commands that a node sends to one worker.

    The worker refuses a request whose epoch is smaller than the greatest that it has seen, or whose
    sequence is not greater than the last one in the same epoch. Sequence 0 marks a request from a
    node that only renews leases: it is exempt from this check and contains no command to start,
    stop or forget an attempt.
*/
struct ExchangeRequest
{
    NodeId node;
    GroupId group;
    Epoch epoch = 0;
    std::uint64_t sequence = 0;
    std::string incarnation; ///< the worker's, from its last answer
    /** The time on the worker's clock after which the request renews and starts nothing. */
    std::int64_t validUntilMs = 0;
    std::vector<Renewal> renewals;
    std::vector<StartCommand> starts;
    std::vector<AttemptId> stops;
    std::vector<AttemptId> checkpoints;
    std::vector<ThrottleCommand> throttles;
    std::vector<AttemptId> forgets;
};

/** The state of an attempt on its worker. */
enum class AttemptState : std::uint8_t { Running, Finished, Stopped, Failed, Lapsed };

/** One attempt in a worker's inventory. */
struct InventoryItem
{
    AttemptId attempt;
    Epoch epoch = 0; ///< of the owner that started it
    AttemptState state = AttemptState::Running;
    Resources need;
    std::int64_t usageCpuMilli = 0;
    std::int64_t usageMemoryMb = 0;
    std::int64_t usageAgeMs = 0;
    std::string checkpoint; ///< the last one that the attempt wrote
    std::string result;
};

/** A worker's answer to an exchange. */
struct ExchangeAnswer
{
    VmId worker;
    bool accepted = false;
    Epoch epoch = 0; ///< the greatest that the worker has seen
    std::uint64_t sequence = 0; ///< the greatest that the worker has seen in that epoch
    std::string incarnation; ///< unique to each start of the worker's process
    std::int64_t clockMs = 0; ///< the worker's monotonic clock
    bool leaving = false;
    Resources capacity;
    std::vector<InventoryItem> inventory;
};

/** Converts a request to JSON text and back. @throws Error when the text is malformed */
std::string encode(const ExchangeRequest &request);
ExchangeRequest decodeExchangeRequest(std::string_view text);

/** Converts an answer to JSON text and back. @throws Error when the text is malformed */
std::string encode(const ExchangeAnswer &answer);
ExchangeAnswer decodeExchangeAnswer(std::string_view text);

} // namespace bulrush
