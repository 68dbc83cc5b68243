#pragma once

#include "bulrush_node/control/RecordManager.h"
#include "bulrush_node/groups/GroupManager.h"
#include "bulrush_node/groups/HttpWorkers.h"
#include "bulrush_node/keys/KeyClaimHandler.h"
#include "bulrush_node/messages/FrontMessages.h"
#include "bulrush_node/metrics/NodeMetrics.h"
#include "bulrush_node/operators/OperatorsApi.h"
#include "bulrush_node/peers/PeerMesh.h"

#include <functional>
#include <map>
#include <optional>

namespace bulrush {

/**
    Performs all work of a node except serving callers: reads the log, maintains links to other
    nodes, manages worker groups, serves operators, and sends the configuration in force to the
    front task. Runs on the thread of one event loop.
*/
class ControlTask : private RecordManager::Listener, private PeerMesh::Listener
{
public:
    /** @param toFront sends a message to the front task
        @param stop    called when the front task has drained; ends the event loops
    */
    ControlTask(EventLoop &loop, const Clock &clock, const NodeSettings &settings,
                NodeMetrics &metrics, EventLog &events, std::function<void(FrontMessage)> toFront,
                std::function<void()> stop);

    ControlTask(const ControlTask &) = delete;
    ControlTask &operator=(const ControlTask &) = delete;

    /** Starts reading the log, linking to other nodes and polling the list of VMs. */
    void start();

    /** Handles a message from the front task. */
    void handle(const FrontReport &message);

    /** Begins a graceful stop. */
    void drain();

private:
    // Records.
    void recordsChanged() override;
    void logAvailabilityChanged(bool available) override;
    void configureFront();
    FrontConfiguration frontConfiguration() const;

    // Peers.
    LogOffset recordsNext() const override { return this->records.state().nextOffset(); }
    bool wantsRecords() const override { return this->records.wantsPeerRecords(); }
    std::optional<std::vector<LogEntry>> recordsFrom(LogOffset from) const override;
    std::string exportState() const override;
    void recordsFromPeer(const NodeId &peer, const std::vector<LogEntry> &entries) override;
    void stateFromPeer(const NodeId &peer, std::string_view state) override;
    void peersChanged() override;

    // The platform's list of VMs.
    void pollVms();
    void updateVms(const std::vector<VmEntry> &vms);

    // Worker groups.
    void updateWorkNodes();
    void recordJobEnd(const std::string &name, const JobId &run);

    // Operators.
    void bindOperatorCommands();
    void publish(const HttpRequest &request, const OperatorsApi::Reply &reply);
    std::string statusText() const;

    EventLoop &loop;
    const Clock &clock;
    const NodeSettings settings;
    NodeMetrics &metrics;
    EventLog &events;
    const std::function<void(FrontMessage)> toFront;
    const std::function<void()> stop;
    /** Unique for each start of each node. */
    const std::string process;

    HttpPlatform platform;
    RecordManager records;
    PeerMesh mesh;
    KeyClaimHandler keyClaims;
    HttpWorkers workers;
    GroupManager groupManager;
    OperatorsApi operators;
    std::map<JobId, Instant> jobEndSentAt;
    std::vector<VmEntry> vms;
    std::optional<FrontConfiguration> lastFrontConfiguration;
    Instant startedAt {};
    bool draining = false;
};

} // namespace bulrush
