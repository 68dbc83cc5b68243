#pragma once

#include "bulrush_core/addresses/Endpoint.h"
#include "bulrush_steps/model/StepJob.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace bulrush {

/** Milliseconds on a worker's own steady clock. */
using WorkerMillis = std::int64_t;

/** Which worker an order goes to. */
struct WorkerAddress
{
    TargetId worker;
    Endpoint endpoint;
};

/** How an order ended. */
enum class OrderOutcome : std::uint8_t {
    Done,
    /** A higher fencing token was seen. */
    Fenced,
    /** The attempt is not higher than one that ended or was stopped there. */
    StaleAttempt,
    /** The lease would have ended already. */
    TooLate,
    NoRoom,
    TicketRefused,
    /** The worker is unhealthy and did nothing. */
    Refused,
    /** Another worker answers at the address. */
    OtherWorker,
    /** The order was malformed. */
    Invalid,
    /** No answer: the order may take effect, also later. */
    Unknown,
};

struct OrderAnswer
{
    OrderOutcome outcome = OrderOutcome::Unknown;
    std::optional<WorkerMillis> clock;
};

struct RunStart
{
    AttemptRef attempt;
    std::string payload;
    WorkerMillis leaseEnd = 0;
    std::uint64_t fencingToken = 0;
    std::string checkpoint;
    std::string ticket;
};

struct RunStop
{
    AttemptRef attempt;
    std::uint64_t fencingToken = 0;
};

/** Sets the share of processor time that a task works at. */
struct RunPace
{
    AttemptRef attempt;
    std::uint32_t percent = 100;
    std::uint64_t fencingToken = 0;
};

/** Renews the lease of everything on a worker, acknowledges ends and asks for both lists. */
struct WorkerHold
{
    std::uint64_t fencingToken = 0;
    /** Ends up to this number may be forgotten by the worker. */
    std::uint64_t acknowledgedEnds = 0;
    std::optional<WorkerMillis> leaseEnd;
    /** How long the worker waits for an end before it answers. */
    milliseconds wait { 0 };
};

/** A run that a worker lists. */
struct ListedRun
{
    AttemptRef attempt;
    std::string checkpoint;
    std::uint32_t percent = 0;
    /** Of a serving task: its tail latency in milliseconds; of others: processors in use, in
     * thousandths. */
    double load = 0.0;
};

/** Why a run ended. */
enum class EndKind : std::uint8_t {
    Succeeded,
    Failed,
    Stopped,
    LeaseLapsed,
    GangBroken,
    GangAlone
};

/** An end that a worker lists until it is acknowledged. */
struct ListedEnd
{
    std::uint64_t number = 0;
    AttemptRef attempt;
    EndKind kind = EndKind::Stopped;
    std::string checkpoint;
};

struct HoldAnswer
{
    OrderOutcome outcome = OrderOutcome::Unknown;
    WorkerMillis clock = 0;
    /** When the worker's process started; tells one life from the next. */
    UnixMillis bornAt = 0;
    std::vector<ListedRun> running;
    std::vector<ListedEnd> ended;
};

/** Orders to workers. Callbacks are called once, never from within a call. */
class WorkerOrders
{
public:
    using Callback = std::function<void(OrderAnswer)>;

    WorkerOrders() = default;
    virtual ~WorkerOrders() = default;
    WorkerOrders(const WorkerOrders &) = delete;
    WorkerOrders &operator=(const WorkerOrders &) = delete;

    virtual void start(const WorkerAddress &worker, const RunStart &order, Duration timeout,
                       Callback callback) = 0;
    virtual void stop(const WorkerAddress &worker, const RunStop &order, Duration timeout,
                      Callback callback) = 0;
    virtual void pace(const WorkerAddress &worker, const RunPace &order, Duration timeout,
                      Callback callback) = 0;
    virtual void hold(const WorkerAddress &worker, const WorkerHold &order, Duration timeout,
                      std::function<void(HoldAnswer)> callback) = 0;
};

} // namespace bulrush
