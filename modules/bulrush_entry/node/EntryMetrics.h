#pragma once

#include "bulrush_entry/front/AppendCounts.h"
#include "bulrush_entry/front/CallerTypes.h"
#include "bulrush_steps/dispatch/EvacuationLoad.h"
#include "bulrush_steps/dispatch/ReservationCounts.h"
#include "bulrush_steps/dispatch/WaitCensus.h"
#include "bulrush_steps/ownership/TakeoverWait.h"
#include "bulrush_steps/ports/KeyedLog.h"
#include "bulrush_steps/ports/WorkerCommands.h"
#include "bulrush_steps/workers/LapsedRunCounts.h"
#include "bulrush_steps/workers/WorkerProcessCounts.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace bulrush {

/** The counters and histograms of an entry VM. */
class EntryMetrics
{
public:
    EntryMetrics();
    ~EntryMetrics();

    EntryMetrics(const EntryMetrics &) = delete;
    EntryMetrics &operator=(const EntryMetrics &) = delete;

    void recordStoreCall(std::string_view call, StoreOutcome outcome, Duration elapsed);
    void recordCallerRequest(CallerRequestKind requestKind, CallerOutcome outcome,
                             Duration elapsed);
    void recordWorkerCommand(std::string_view order, CommandOutcome outcome, Duration elapsed);

    /** Records the start of a job's first task. @param waited time since the job was accepted */
    void recordJobStart(Duration waited);

    /** Records how long a task of a long-running step waited for its next run. */
    void recordRestartWait(Duration waited);

    /** Records what became of reservations of room. @param more since the last call */
    void recordReservations(const ReservationCounts &more);

    /** Records what was found of the processes of workers. @param more since the last call */
    void recordWorkerProcesses(const WorkerProcessCounts &more);

    /** Records runs that workers listed as lapsed. @param more since the last call */
    void recordLapsedRuns(const LapsedRunCounts &more);

    /** Records a job's end after it was stored in the log.
        @param elapsed time since the job was accepted */
    void recordJobEnd(JobState state, Duration elapsed);

    /** Records by how much the periodic work of the event loop ran late. */
    void recordTickDelay(Duration delay);

    /** Records how long a new owner took to get ready, or until it was the owner no more.
        @param outcome "ready" or "abandoned" */
    void recordTakeover(const char *outcome, Duration elapsed);

    /** Counts that this node left its place in the group to a larger one.
        @param wasOwner whether it handed the ownership over with it */
    void recordPlaceLeft(bool wasOwner);

    /** Sets the numbers of tasks that may not start because of former owners. */
    void setHeldTasks(const HeldTasks &held);

    /** Sets the numbers of steps that wait for a worker, by the reason. */
    void setWaitingSteps(const WaitCensus &waits);

    /** Sets the number of evacuated data centres and what is left in them. */
    void setEvacuation(std::size_t dataCentres, const EvacuationLoad &load);

    /** Sets whether this node is the owner. No steps wait for a node that is not. */
    void setOwner(bool owner);

    /** Sets the share of jobs that end within their late limits, by queue. Queues that are not
        given have no series from then on. */
    void setServedShares(const std::map<std::string, double> &shares);

    /** Counts requests and connections of callers that met a limit. */
    void recordCallerLimit(const char *reason, std::uint64_t more);

    /** Sets the memory that is reserved for callers' bodies, and the number of connections. */
    void setCallerLoad(std::size_t bodyBytes, std::size_t connections);

    /** Sets what the appends of callers' records amount to since the start. */
    void setAppends(const AppendCounts &counts);

    void setDroppedLines(std::uint64_t lines);

    /** Returns all metrics in the Prometheus text format. */
    std::string text() const;

private:
    struct OrderSeries;
    struct Families;
    std::unique_ptr<Families> families;
};

} // namespace bulrush
