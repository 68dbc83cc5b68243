#pragma once

#include "bulrush_core/events/DecisionLog.h"
#include "bulrush_entry/front/CallerLimitReport.h"
#include "bulrush_entry/front/CallerRequestHandler.h"
#include "bulrush_entry/front/DrainSchedule.h"
#include "bulrush_entry/front/StoreHealth.h"
#include "bulrush_entry/node/EntryMetrics.h"
#include "bulrush_entry/node/EntryPorts.h"
#include "bulrush_entry/node/ObservedStore.h"
#include "bulrush_entry/node/ObservedWorkers.h"
#include "bulrush_entry/operators/StatusJson.h"
#include "bulrush_entry/owner/OwnerLink.h"
#include "bulrush_entry/settings/EntrySettings.h"
#include "bulrush_net/http/HttpServer.h"
#include "bulrush_steps/bulrush_steps.h"

#include <map>
#include <memory>
#include <optional>

namespace bulrush {

/**
    One entry VM on a platform that provides its own store: serves callers, and sends orders to the
    workers while it is the owner. All work runs on one event loop.
*/
class EntryNode : private HttpServer::Listener,
                  private OwnershipManager::Listener,
                  private Dispatcher::Listener,
                  private WorkerFollower::Listener,
                  private OwnerLink::Listener,
                  private StreamReader::Listener
{
public:
    EntryNode(EventLoop &loop, const Clock &clock, const EntrySettings &settings, EntryPorts ports,
              JsonDecisionLog &decisions);

    /** Starts a graceful stop; the event loop stops when it is complete. */
    void drain();

    /** Logs the outcome of reading the settings. */
    void settingsRead(std::string_view outcome);

private:
    struct OpenRequest
    {
        CallerRequestKind kind = CallerRequestKind::Unsupported;
        Instant arrivedAt {};
    };

    /** A server of its own, whose requests are kept apart from callers' requests and are answered
        at once. */
    class SeparateServer : private HttpServer::Listener
    {
    public:
        using Handler = HttpResponse (EntryNode::*)(const HttpRequest &);

        SeparateServer(EventLoop &loop, const Endpoint &endpoint, const HttpServer::Limits &limits,
                       EntryNode &node, Handler handler);

    private:
        void requestArrived(HttpServer::RequestId id, HttpRequest request) override;
        void clientDisconnected(HttpServer::RequestId /*id*/) override { }

        EntryNode &node;
        const Handler handler;
        HttpServer server;
    };

    // HttpServer::Listener
    void requestArrived(HttpServer::RequestId id, HttpRequest request) override;
    void clientDisconnected(HttpServer::RequestId id) override;

    // OwnershipManager::Listener
    void ownershipGained(std::uint64_t fencingToken) override;
    void ownershipLost(std::string_view reason) override;
    bool recordsAreCurrent() const override;
    std::uint32_t milliCoresOf(std::string_view member) const override;
    bool mayHandOver() const override;
    void placeLeft(bool wasOwner) override { this->metrics.recordPlaceLeft(wasOwner); }

    // Dispatcher::Listener
    void superseded(std::string_view by) override;
    bool isOwner() const override { return this->ownership.isOwner(); }
    void jobStarted(Duration waited) override { this->metrics.recordJobStart(waited); }
    void longRunningTaskStarted(Duration waited) override
    {
        this->metrics.recordRestartWait(waited);
    }
    void jobEnded(JobState state, Duration elapsed) override
    {
        this->metrics.recordJobEnd(state, elapsed);
    }
    bool isSoleOwner() const override { return this->ownership.isSoleOwner(); }
    void recordsObsolete(const std::vector<KeyedRecord> &removals) override;
    Instant storeAnsweredAt() const override { return this->health.lastAnswerAt(); }
    void tasksHeld(const HeldTasks &held) override { this->metrics.setHeldTasks(held); }

    // WorkerFollower::Listener
    void workerListed(const WorkerEntry &entry) override;
    void workerUnlisted(const TargetId &worker, RemovalCause cause) override;

    // OwnerLink::Listener
    bool stopCommandsOf(std::string_view member, std::uint64_t askedToken,
                        std::uint64_t askerToken) override;
    void formerOwnerStopped(std::uint64_t fencingToken) override;

    // StreamReader::Listener
    void snapshotReadStarted(LogStream /*stream*/) override { }
    void recordRead(LogStream stream, const KeyedRecord &record) override;
    void snapshotReadCompleted(LogStream /*stream*/) override { }

    void tick();
    void recordTickDelay();

    /** Lets callers' records be handed over to and taken from other nodes. */
    void connectAppends();

    /** Passes on signs that the store is slow. */
    void followStoreSpeed();
    void reportOwnerLoad();
    /** Logs what is left in evacuated data centres, if anything is, and sets the metrics. */
    void reportEvacuation(const EvacuationLoad &load);
    /** Logs why steps of one kind that may start have no worker, if there are any.
        @param lane the kind of steps, as it is logged */
    void reportWaits(std::string_view lane, const WaitCensus &waits);
    bool isOwnerOrTakesOver() const
    {
        return this->dispatcher.active() || this->takeover.running();
    }
    void followJobs();
    void resign(const Resignation &resignation);

    /** Appends records of an ownership that has ended to the jobs stream, again until the store
        confirms it. */
    void appendUntilStored(const std::vector<KeyedRecord> &records, int attemptsLeft);
    void refreshStandbyView();
    void configChanged();
    void takeoverDone(LogOffset markOffset);
    void sendAnswer(HttpServer::RequestId id, const CallerAnswer &answer);
    bool ready();
    HttpResponse readinessResponse(const HttpRequest &request);
    HttpResponse operatorResponse(const HttpRequest &request);
    NodeStatus status();
    DrainStep followDrain();
    void drainTick();

    /** Returns the number of connections and requests of callers that have arrived. */
    std::uint64_t callerEvents() const;

    /** Returns whether the process may end.
        @param quiet whether nothing has arrived from callers in the last pass over the sockets */
    bool mayEnd(bool quiet);

    EventLoop &loop;
    const Clock &clock;
    const EntrySettings settings;
    const MemberName name;
    EntryPorts ports;
    JsonDecisionLog &decisions;
    EntryMetrics metrics;
    StoreHealth health;
    ObservedStore store;
    ObservedWorkers orders;
    ConfigFollower config;
    RecordsView view;
    WorkerFollower workers;
    Dispatcher dispatcher;
    OwnershipManager ownership;
    Takeover takeover;
    std::shared_ptr<StreamReader> jobs;
    Instant jobsRetryAt {};
    /** When a node that may become the owner soon next reads the records. */
    Instant nextStandbyRead {};
    bool standbyReadRuns = false;
    /** When the last of these readings was complete. */
    std::optional<Instant> recordsReadAt;
    OwnerLink owner;
    CallerRequestHandler requestHandler;
    HttpServer callers;
    CallerLimitReport limitReport;
    SeparateServer readiness;
    SeparateServer operators;
    std::map<HttpServer::RequestId, OpenRequest> openRequests;
    Instant startedAt {};
    /** When this node last became the owner. */
    Instant gainedAt {};
    /** When the next tick is due. */
    Instant nextTickAt {};
    /** The longest delay of a tick since the owner's load was last logged. */
    Duration longestTickDelay {};
    Instant nextLoadReport {};
    /** The planner's load as last logged. */
    PlanLoad reportedPlan;
    WorkerProcessCounts reportedProcesses;
    LapsedRunCounts reportedLapsedRuns;
    Instant lastRequestAt {};
    std::uint64_t arrivedRequests = 0;
    /** Set when this node was told to stop. */
    std::optional<DrainSchedule> drainSchedule;
    /** Whether the process ends as soon as no request is open. */
    bool ending = false;
};

} // namespace bulrush
