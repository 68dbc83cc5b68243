#include "bulrush_entry/node/EntryMetrics.h"

#include "bulrush_steps/model/TaskText.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <map>
#include <string>

namespace bulrush {

namespace {

constexpr std::array<const char *, 5> requestKinds { "submit", "query", "cancel", "count",
                                                     "unsupported" };
constexpr std::array<const char *, 9> callerOutcomes { "accepted",  "refused", "no_queue",
                                                       "malformed", "unknown", "state",
                                                       "cancelled", "no_job",  "waiting" };

constexpr std::size_t commandOutcomes = static_cast<std::size_t>(CommandOutcome::Unknown) + 1;

/** Upper bounds of the histograms' buckets, in seconds. */
const prometheus::Histogram::BucketBoundaries secondsBuckets { 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
                                                               0.2,   0.5,   1.0,  2.0,  5.0 };

const prometheus::Histogram::BucketBoundaries restartBuckets { 0.1, 0.2, 0.5, 1.0,  2.0,  3.0, 4.0,
                                                               5.0, 6.0, 9.0, 12.0, 20.0, 30.0 };

double toSeconds(Duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

/** The series of one kind of order, looked up once. */
struct EntryMetrics::OrderSeries
{
    prometheus::Histogram *seconds = nullptr;
    /** By outcome; null until the outcome occurs. */
    std::array<prometheus::Counter *, commandOutcomes> outcomes {};
};

struct EntryMetrics::Families
{
    OrderSeries &seriesOf(std::string_view order)
    {
        const auto found = this->orderSeries.find(order);
        if (found != this->orderSeries.end()) {
            return found->second;
        }
        OrderSeries &series = this->orderSeries[std::string(order)];
        series.seconds =
                &this->workerOrderSeconds.Add({ { "order", std::string(order) } }, secondsBuckets);
        return series;
    }

    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter> &storeCalls =
            prometheus::BuildCounter()
                    .Name("bulrush_entry_store_calls_total")
                    .Help("Calls to the store by call and outcome")
                    .Register(registry);
    prometheus::Family<prometheus::Histogram> &storeSeconds =
            prometheus::BuildHistogram()
                    .Name("bulrush_entry_store_call_seconds")
                    .Help("Duration of calls to the store")
                    .Register(registry);
    prometheus::Family<prometheus::Counter> &requests =
            prometheus::BuildCounter()
                    .Name("bulrush_entry_requests_total")
                    .Help("Callers' requests by kind and outcome")
                    .Register(registry);
    prometheus::Family<prometheus::Histogram> &requestSeconds =
            prometheus::BuildHistogram()
                    .Name("bulrush_entry_request_seconds")
                    .Help("Time from a request's arrival to its answer")
                    .Register(registry);
    prometheus::Family<prometheus::Counter> &workerOrders =
            prometheus::BuildCounter()
                    .Name("bulrush_entry_worker_orders_total")
                    .Help("Orders to workers by order and outcome")
                    .Register(registry);
    prometheus::Family<prometheus::Histogram> &workerOrderSeconds =
            prometheus::BuildHistogram()
                    .Name("bulrush_entry_worker_order_seconds")
                    .Help("Duration of orders to workers")
                    .Register(registry);
    prometheus::Histogram &jobWaitSeconds =
            prometheus::BuildHistogram()
                    .Name("bulrush_entry_job_wait_seconds")
                    .Help("Time from a job's acceptance to the start of its first task")
                    .Register(registry)
                    .Add({}, secondsBuckets);
    prometheus::Histogram &restartWaitSeconds =
            prometheus::BuildHistogram()
                    .Name("bulrush_entry_restart_wait_seconds")
                    .Help("Time that tasks of long-running steps waited for their next run")
                    .Register(registry)
                    .Add({}, restartBuckets);
    prometheus::Family<prometheus::Counter> &reservations =
            prometheus::BuildCounter()
                    .Name("bulrush_entry_reservations_total")
                    .Help("Reservations of room for starving tasks by outcome")
                    .Register(registry);
    prometheus::Counter &usedReservations = reservations.Add({ { "outcome", "used" } });
    prometheus::Counter &lapsedReservations = reservations.Add({ { "outcome", "lapsed" } });
    prometheus::Counter &droppedReservations = reservations.Add({ { "outcome", "dropped" } });
    prometheus::Family<prometheus::Counter> &workerProcesses =
            prometheus::BuildCounter()
                    .Name("bulrush_entry_worker_processes_total")
                    .Help("Events that concern the processes of workers")
                    .Register(registry);
    prometheus::Counter &restartedWorkers = workerProcesses.Add({ { "event", "restarted" } });
    prometheus::Counter &doubtedWorkers = workerProcesses.Add({ { "event", "doubted" } });
    prometheus::Counter &othersCommands =
            workerProcesses.Add({ { "event", "took_others_command" } });
    prometheus::Counter &refusedTokens =
            workerProcesses.Add({ { "event", "refused_older_token" } });
    prometheus::Family<prometheus::Counter> &lapsedRuns =
            prometheus::BuildCounter()
                    .Name("bulrush_entry_lapsed_runs_total")
                    .Help("Runs that workers listed as lapsed, by the time since the takeover")
                    .Register(registry);
    prometheus::Counter &lapsedSoon = lapsedRuns.Add({ { "listed", "soon_after_takeover" } });
    prometheus::Counter &lapsedLater = lapsedRuns.Add({ { "listed", "later" } });
    prometheus::Family<prometheus::Histogram> &jobSeconds =
            prometheus::BuildHistogram()
                    .Name("bulrush_entry_job_seconds")
                    .Help("Time from a job's acceptance to its end on record")
                    .Register(registry);
    prometheus::Histogram &tickDelaySeconds =
            prometheus::BuildHistogram()
                    .Name("bulrush_entry_tick_delay_seconds")
                    .Help("How late the event loop ran its periodic work")
                    .Register(registry)
                    .Add({}, secondsBuckets);
    prometheus::Family<prometheus::Counter> &callerLimits =
            prometheus::BuildCounter()
                    .Name("bulrush_entry_caller_limits_total")
                    .Help("Requests and connections of callers that met a limit by reason")
                    .Register(registry);
    prometheus::Gauge &callerBodyBytes =
            prometheus::BuildGauge()
                    .Name("bulrush_entry_caller_body_bytes")
                    .Help("Memory that is reserved for callers' bodies")
                    .Register(registry)
                    .Add({});
    prometheus::Gauge &callerConnections = prometheus::BuildGauge()
                                                   .Name("bulrush_entry_caller_connections")
                                                   .Help("Open connections from callers")
                                                   .Register(registry)
                                                   .Add({});
    std::map<std::string, OrderSeries, std::less<>> orderSeries;
    prometheus::Gauge &owner = prometheus::BuildGauge()
                                       .Name("bulrush_entry_owner")
                                       .Help("1 while this node orders the workers")
                                       .Register(registry)
                                       .Add({});
    prometheus::Family<prometheus::Histogram> &takeoverSeconds =
            prometheus::BuildHistogram()
                    .Name("bulrush_entry_takeover_seconds")
                    .Help("Time from becoming the owner to being ready, or to losing the ownership")
                    .Register(registry);
    prometheus::Family<prometheus::Counter> &placesLeft =
            prometheus::BuildCounter()
                    .Name("bulrush_entry_places_left_total")
                    .Help("Places in the group that this node left to a node with more processor "
                          "time")
                    .Register(registry);
    prometheus::Counter &ownersLeft = placesLeft.Add({ { "place", "owner" } });
    prometheus::Counter &membersLeft = placesLeft.Add({ { "place", "member" } });
    prometheus::Family<prometheus::Gauge> &heldTasks =
            prometheus::BuildGauge()
                    .Name("bulrush_entry_held_tasks")
                    .Help("Tasks that may not start because of former owners")
                    .Register(registry);
    prometheus::Gauge &heldForOwnWorker = heldTasks.Add({ { "waits_for", "own_worker" } });
    prometheus::Gauge &heldForAllWorkers = heldTasks.Add({ { "waits_for", "all_workers" } });
    prometheus::Gauge &evacuatedDataCentres =
            prometheus::BuildGauge()
                    .Name("bulrush_entry_evacuated_data_centres")
                    .Help("Data centres whose evacuation is requested")
                    .Register(registry)
                    .Add({});
    prometheus::Family<prometheus::Gauge> &evacuatedRuns =
            prometheus::BuildGauge()
                    .Name("bulrush_entry_evacuated_runs")
                    .Help("Runs in evacuated data centres, and tasks on their way out")
                    .Register(registry);
    prometheus::Gauge &evacuatedLongRuns = evacuatedRuns.Add({ { "kind", "long_running" } });
    prometheus::Gauge &evacuatedEndingRuns = evacuatedRuns.Add({ { "kind", "ending" } });
    prometheus::Gauge &evacuatedMoving = evacuatedRuns.Add({ { "kind", "moving" } });
    prometheus::Gauge &evacuatedMoved =
            prometheus::BuildGauge()
                    .Name("bulrush_entry_evacuation_moves")
                    .Help("Tasks moved out of evacuated data centres since the process started")
                    .Register(registry)
                    .Add({});
    prometheus::Family<prometheus::Gauge> &waitingSteps =
            prometheus::BuildGauge()
                    .Name("bulrush_entry_waiting_steps")
                    .Help("Steps whose turn has come and that wait for a worker, by the reason")
                    .Register(registry);
    prometheus::Family<prometheus::Gauge> &servedShares =
            prometheus::BuildGauge()
                    .Name("bulrush_entry_queue_served_share")
                    .Help("Share of a queue's jobs that end within thrice their objective")
                    .Register(registry);
    /** The series of servedShares by queue. */
    std::map<std::string, prometheus::Gauge *> servedShareSeries;
    prometheus::Family<prometheus::Gauge> &callerRecords =
            prometheus::BuildGauge()
                    .Name("bulrush_entry_caller_records")
                    .Help("Callers' records since the start, by what was done with them")
                    .Register(registry);
    prometheus::Gauge &callerAppends = prometheus::BuildGauge()
                                               .Name("bulrush_entry_caller_appends")
                                               .Help("Appends of callers' records since the start")
                                               .Register(registry)
                                               .Add({});
    prometheus::Gauge &droppedLines = prometheus::BuildGauge()
                                              .Name("bulrush_entry_log_lines_dropped")
                                              .Help("Log lines dropped since the start")
                                              .Register(registry)
                                              .Add({});
};

EntryMetrics::EntryMetrics()
    : families(std::make_unique<Families>())
{
    this->setWaitingSteps({});
    this->setAppends({});
    for (const char *reason :
         { "too_large", "no_memory", "upload_displaced", "upload_slow", "connection_refused",
           "connection_displaced", "connection_overdue" }) {
        this->recordCallerLimit(reason, 0);
    }
}

EntryMetrics::~EntryMetrics() = default;

void EntryMetrics::recordStoreCall(std::string_view call, StoreOutcome outcome, Duration elapsed)
{
    const std::string name(call);
    this->families->storeCalls
            .Add({ { "call", name }, { "outcome", std::string(bulrush::text(outcome)) } })
            .Increment();
    this->families->storeSeconds.Add({ { "call", name } }, secondsBuckets)
            .Observe(toSeconds(elapsed));
}

void EntryMetrics::recordCallerRequest(CallerRequestKind requestKind, CallerOutcome outcome,
                                       Duration elapsed)
{
    const std::string kind = requestKinds.at(static_cast<std::size_t>(requestKind));
    this->families->requests
            .Add({ { "kind", kind },
                   { "outcome", callerOutcomes.at(static_cast<std::size_t>(outcome)) } })
            .Increment();
    this->families->requestSeconds.Add({ { "kind", kind } }, secondsBuckets)
            .Observe(toSeconds(elapsed));
}

void EntryMetrics::recordWorkerCommand(std::string_view order, CommandOutcome outcome,
                                       Duration elapsed)
{
    OrderSeries &series = this->families->seriesOf(order);
    prometheus::Counter *&counter = series.outcomes.at(static_cast<std::size_t>(outcome));
    if (counter == nullptr) {
        counter = &this->families->workerOrders.Add(
                { { "order", std::string(order) },
                  { "outcome", std::string(bulrush::text(outcome)) } });
    }
    counter->Increment();
    series.seconds->Observe(toSeconds(elapsed));
}

void EntryMetrics::recordJobStart(Duration waited)
{
    this->families->jobWaitSeconds.Observe(toSeconds(waited));
}

void EntryMetrics::recordRestartWait(Duration waited)
{
    this->families->restartWaitSeconds.Observe(toSeconds(waited));
}

void EntryMetrics::recordReservations(const ReservationCounts &more)
{
    this->families->usedReservations.Increment(static_cast<double>(more.used));
    this->families->lapsedReservations.Increment(static_cast<double>(more.lapsed));
    this->families->droppedReservations.Increment(static_cast<double>(more.dropped));
}

void EntryMetrics::recordWorkerProcesses(const WorkerProcessCounts &more)
{
    this->families->restartedWorkers.Increment(static_cast<double>(more.restarted));
    this->families->doubtedWorkers.Increment(static_cast<double>(more.doubted));
    this->families->othersCommands.Increment(static_cast<double>(more.tookOthersCommand));
    this->families->refusedTokens.Increment(static_cast<double>(more.refusedOlderToken));
}

void EntryMetrics::recordLapsedRuns(const LapsedRunCounts &more)
{
    this->families->lapsedSoon.Increment(static_cast<double>(more.soonAfterTakeover));
    this->families->lapsedLater.Increment(static_cast<double>(more.later));
}

void EntryMetrics::recordJobEnd(JobState state, Duration elapsed)
{
    this->families->jobSeconds
            .Add({ { "state", std::string(bulrush::text(state)) } }, secondsBuckets)
            .Observe(toSeconds(elapsed));
}

void EntryMetrics::recordTickDelay(Duration delay)
{
    this->families->tickDelaySeconds.Observe(toSeconds(delay));
}

void EntryMetrics::recordTakeover(const char *outcome, Duration elapsed)
{
    this->families->takeoverSeconds.Add({ { "outcome", outcome } }, secondsBuckets)
            .Observe(toSeconds(elapsed));
}

void EntryMetrics::recordPlaceLeft(bool wasOwner)
{
    (wasOwner ? this->families->ownersLeft : this->families->membersLeft).Increment();
}

void EntryMetrics::setHeldTasks(const HeldTasks &held)
{
    this->families->heldForOwnWorker.Set(static_cast<double>(held.forOwnWorker));
    this->families->heldForAllWorkers.Set(static_cast<double>(held.forAllWorkers));
}

void EntryMetrics::setEvacuation(std::size_t dataCentres, const EvacuationLoad &load)
{
    this->families->evacuatedDataCentres.Set(static_cast<double>(dataCentres));
    this->families->evacuatedLongRuns.Set(static_cast<double>(load.longRunning));
    this->families->evacuatedEndingRuns.Set(static_cast<double>(load.runs - load.longRunning));
    this->families->evacuatedMoving.Set(static_cast<double>(load.moving));
    this->families->evacuatedMoved.Set(static_cast<double>(load.moved));
}

void EntryMetrics::setWaitingSteps(const WaitCensus &waits)
{
    for (std::size_t index = 0; index < waitReasonCount; ++index) {
        const auto reason = static_cast<WaitReason>(index);
        this->families->waitingSteps.Add({ { "reason", std::string(bulrush::text(reason)) } })
                .Set(static_cast<double>(waits.count(reason)));
    }
}

void EntryMetrics::setOwner(bool owner)
{
    this->families->owner.Set(owner ? 1.0 : 0.0);
    if (!owner) {
        this->setWaitingSteps({});
        this->setEvacuation(0, {});
    }
}

void EntryMetrics::setServedShares(const std::map<std::string, double> &shares)
{
    std::erase_if(this->families->servedShareSeries, [this, &shares](const auto &each) {
        const bool gone = !shares.contains(each.first);
        if (gone) {
            this->families->servedShares.Remove(each.second);
        }
        return gone;
    });
    for (const auto &[queue, share] : shares) {
        prometheus::Gauge *&series = this->families->servedShareSeries[queue];
        if (series == nullptr) {
            series = &this->families->servedShares.Add({ { "queue", queue } });
        }
        series->Set(share);
    }
}

void EntryMetrics::recordCallerLimit(const char *reason, std::uint64_t more)
{
    this->families->callerLimits.Add({ { "reason", reason } }).Increment(static_cast<double>(more));
}

void EntryMetrics::setCallerLoad(std::size_t bodyBytes, std::size_t connections)
{
    this->families->callerBodyBytes.Set(static_cast<double>(bodyBytes));
    this->families->callerConnections.Set(static_cast<double>(connections));
}

void EntryMetrics::setAppends(const AppendCounts &counts)
{
    const auto set = [this](const char *what, std::uint64_t value) {
        this->families->callerRecords.Add({ { "what", what } }).Set(static_cast<double>(value));
    };
    this->families->callerAppends.Set(static_cast<double>(counts.appends));
    set("appended", counts.records);
    set("handed_over", counts.handedOver);
    set("relayed", counts.relayed);
    set("refused_late", counts.refusedLate);
    set("refused_at_end", counts.refusedAtEnd);
}

void EntryMetrics::setDroppedLines(std::uint64_t lines)
{
    this->families->droppedLines.Set(static_cast<double>(lines));
}

std::string EntryMetrics::text() const
{
    return prometheus::TextSerializer().Serialize(this->families->registry.Collect());
}

} // namespace bulrush
