#pragma once

#include "bulrush_core/bulrush_core.h"
#include "bulrush_net/frames/FrameTransport.h"
#include "bulrush_node/metrics/NodeMetrics.h"
#include "bulrush_wire/bulrush_wire.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bulrush {

/** Another node as the settings name it. */
struct PeerAddress
{
    NodeId node;
    DataCentreId dataCentre;
    Endpoint endpoint;
};

/** What the mesh says of itself to others, and how long it waits for them. */
struct MeshSettings
{
    NodeId node;
    DataCentreId dataCentre;
    std::string key;
    Endpoint listen;
    std::vector<PeerAddress> peers;
    Duration heartbeat = milliseconds(500);
    Duration linkTimeout = seconds(2);
};

/** What is known of another node. */
struct PeerView
{
    DataCentreId dataCentre;
    bool connected = false;
    bool draining = false;
    Instant lastReceivedAt {};
    LogOffset recordsNext = 0;
};

/**
    Keeps a link to each other node, tells who is there, and passes on log records and states.

    A link that goes silent is closed and opened anew; whoever it led to counts as lost until then.
*/
class PeerMesh : private FrameTransport::Listener
{
public:
    /** The part of the node that holds the records. */
    struct Listener
    {
        virtual ~Listener() = default;

        /** Returns the offset of the next record not yet in force here. */
        virtual LogOffset recordsNext() const = 0;

        /** Returns whether records are wanted from peers now: the log does not serve them. */
        virtual bool wantsRecords() const = 0;

        /** Returns the records from an offset on, or none when they are not kept any more. */
        virtual std::optional<std::vector<LogEntry>> recordsFrom(LogOffset from) const = 0;

        /** Returns the whole state, or an empty text when there is none to give. */
        virtual std::string exportState() const = 0;

        /** Called with records that a peer passed on, without gaps. */
        virtual void recordsFromPeer(const NodeId &peer, const std::vector<LogEntry> &entries) = 0;

        /** Called with a peer's whole state. */
        virtual void stateFromPeer(const NodeId &peer, std::string_view state) = 0;

        /** Called when a peer was found, lost, or began to drain. */
        virtual void peersChanged() = 0;
    };

    PeerMesh(EventLoop &loop, const Clock &clock, const MeshSettings &settings,
             NodeMetrics &metrics, EventLog &events, Listener &listener);

    PeerMesh(const PeerMesh &) = delete;
    PeerMesh &operator=(const PeerMesh &) = delete;

    /** Opens links and starts the heartbeat. */
    void start();

    /** Says in each heartbeat that this node takes no new requests. */
    void setDraining() { this->draining = true; }

    /** Returns all nodes of the settings but this one. */
    const std::map<NodeId, PeerView> &peers() const { return this->views; }

    /** Returns the data centres of which no node is heard, this node's own left out. */
    std::set<DataCentreId> unreachableDataCentres() const;

    /** Returns how many nodes are there, this one included. */
    unsigned liveNodes() const;

private:
    struct Link
    {
        /** Empty until the other side's Hello was accepted. */
        NodeId node;
        bool outgoing = false;
        Instant openedAt {};
        Instant lastReceivedAt {};
    };

    using Handler = void (PeerMesh::*)(FrameTransport::LinkId link, const wire::Frame &frame);

    void linkOpened(FrameTransport::LinkId link, bool accepted) override;
    void frameArrived(FrameTransport::LinkId link, std::span<const std::uint8_t> frame) override;
    void linkClosed(FrameTransport::LinkId link, std::string_view reason) override;

    static Handler handlerOf(wire::Message kind);
    void handleHello(FrameTransport::LinkId link, const wire::Frame &frame);
    void handleHeartbeat(FrameTransport::LinkId link, const wire::Frame &frame);
    void handleRecordsRequest(FrameTransport::LinkId link, const wire::Frame &frame);
    void handleRecords(FrameTransport::LinkId link, const wire::Frame &frame);
    void handleStateRequest(FrameTransport::LinkId link, const wire::Frame &frame);
    void handleState(FrameTransport::LinkId link, const wire::Frame &frame);

    void sendHeartbeats();
    void openMissingLinks();
    void closeInactiveLinks();
    void requestRecords(const NodeId &node, FrameTransport::LinkId link);
    void sendState(FrameTransport::LinkId link);
    void send(FrameTransport::LinkId link, const wire::Bytes &bytes);
    void rejectLink(FrameTransport::LinkId link, std::string_view reason);
    void removeLink(FrameTransport::LinkId link, std::string_view reason);

    EventLoop &loop;
    const Clock &clock;
    const MeshSettings settings;
    NodeMetrics &metrics;
    EventLog &events;
    Listener &listener;
    FrameTransport transport;
    std::map<FrameTransport::LinkId, Link> links;
    /** The link that this node opened, or is opening, to each peer. */
    std::map<NodeId, FrameTransport::LinkId> outgoing;
    std::map<NodeId, PeerView> views;
    Instant recordsRequestedAt {};
    bool draining = false;
};

} // namespace bulrush
