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

/** The worker that a command is addressed to. */
struct WorkerAddress
{
    TargetId worker;
    Endpoint endpoint;
};

/** The outcome of a command to a worker. */
enum class CommandOutcome : std::uint8_t {
    Done,
    /** The worker has seen a higher fencing token. */
    Fenced,
    /** The attempt number is not higher than that of an attempt that ended or was stopped there. */
    StaleAttempt,
    /** The lease would already have expired. */
    TooLate,
    NoRoom,
    TicketRefused,
    /** The worker is unhealthy and ignored the command. */
    Refused,
    /** A different worker answered at the address. */
    OtherWorker,
    /** The command was malformed. */
    Invalid,
    /** No answer: the command may have taken effect or may still take effect. */
    Unknown,
};

struct CommandAnswer
{
    CommandOutcome outcome = CommandOutcome::Unknown;
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

/** Sets the share of processor time that a task may use. */
struct RunPace
{
    AttemptRef attempt;
    std::uint32_t percent = 100;
    std::uint64_t fencingToken = 0;
};

/** Hold request: renews the lease of all runs on a worker, acknowledges ended runs, and requests
    the lists of current and ended runs. */
struct WorkerHold
{
    std::uint64_t fencingToken = 0;
    /** The worker may discard ended runs up to this number. */
    std::uint64_t acknowledgedEnds = 0;
    std::optional<WorkerMillis> leaseEnd;
    /** Maximum time that the worker waits for a run to end before it answers. */
    milliseconds wait { 0 };
};

/** A run that a worker lists. */
struct ListedRun
{
    AttemptRef attempt;
    std::string checkpoint;
    std::uint32_t percent = 0;
    /** For a serving task: its tail latency in milliseconds. For other tasks: processors in use, in
        thousandths. */
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

/** An ended run, which a worker lists until it is acknowledged. */
struct ListedEnd
{
    std::uint64_t number = 0;
    AttemptRef attempt;
    EndKind kind = EndKind::Stopped;
    std::string checkpoint;
};

struct HoldAnswer
{
    CommandOutcome outcome = CommandOutcome::Unknown;
    WorkerMillis clock = 0;
    /** Start time of the worker's process; changes when the process restarts. */
    UnixMillis processStartedAt = 0;
    std::vector<ListedRun> running;
    /** The ended runs after the acknowledged ones, by ascending numbers. */
    std::vector<ListedEnd> ended;
    /** Whether ended lists all of them. If not, a run that neither list names may have ended. */
    bool listsAllEnds = true;
};

/** Interface for sending commands to workers. Each callback is invoked exactly once, and never from
    within the call that it belongs to. */
class WorkerCommands
{
public:
    using Callback = std::function<void(CommandAnswer)>;

    WorkerCommands() = default;
    virtual ~WorkerCommands() = default;
    WorkerCommands(const WorkerCommands &) = delete;
    WorkerCommands &operator=(const WorkerCommands &) = delete;

    virtual void start(const WorkerAddress &worker, const RunStart &command, Duration timeout,
                       Callback callback) = 0;
    virtual void stop(const WorkerAddress &worker, const RunStop &command, Duration timeout,
                      Callback callback) = 0;
    virtual void pace(const WorkerAddress &worker, const RunPace &command, Duration timeout,
                      Callback callback) = 0;
    virtual void hold(const WorkerAddress &worker, const WorkerHold &command, Duration timeout,
                      std::function<void(HoldAnswer)> callback) = 0;
};

} // namespace bulrush
