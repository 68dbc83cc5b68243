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

/** The address of another node, from the settings. */
struct PeerAddress
{
    NodeId node;
    DataCentreId dataCentre;
    Endpoint endpoint;
};

/** This node's identity, the addresses of its peers, and the timing of links. */
struct MeshSettings
{
    NodeId node;
    DataCentreId dataCentre;
    std::string key;
    Endpoint listen;
    std::vector<PeerAddress> peers;
    Duration heartbeat = milliseconds(500); ///< time from one heartbeat to the next
    Duration linkTimeout = seconds(2); ///< time without a received frame that closes a link
};

/** The last known state of another node. */
struct PeerView
{
    DataCentreId dataCentre;
    bool connected = false;
    bool draining = false;
    Instant lastReceivedAt {};
    LogOffset recordsNext = 0;
};

/**
    Maintains a link to each other node, tracks which nodes are connected, and exchanges log records
    and states with them.

    A link on which no frame arrives for MeshSettings::linkTimeout is closed and opened again. A
   node without a link counts as lost until it is connected again.
*/
class PeerMesh : private FrameTransport::Listener
{
public:
    /** The interface of the part of the node that holds the records. */
    struct Listener
    {
        virtual ~Listener() = default;

        /** Returns the offset of the first record that is not yet in force on this node. */
        virtual LogOffset recordsNext() const = 0;

        /** Returns whether to request records from peers because the log cannot serve them now. */
        virtual bool wantsRecords() const = 0;

        /** Returns the records from an offset on, or nothing when they are no longer cached. */
        virtual std::optional<std::vector<LogEntry>> recordsFrom(LogOffset from) const = 0;

        /** Returns the serialised state, or an empty text when there is none yet. */
        virtual std::string exportState() const = 0;

        /** Called with consecutive records that a peer sent. */
        virtual void recordsFromPeer(const NodeId &peer, const std::vector<LogEntry> &entries) = 0;

        /** Called with the complete state that a peer sent. */
        virtual void stateFromPeer(const NodeId &peer, std::string_view state) = 0;

        /** Called when a peer connects, is lost, or starts or stops draining. */
        virtual void peersChanged() = 0;
    };

    PeerMesh(EventLoop &loop, const Clock &clock, const MeshSettings &settings,
             NodeMetrics &metrics, EventLog &events, Listener &listener);

    PeerMesh(const PeerMesh &) = delete;
    PeerMesh &operator=(const PeerMesh &) = delete;

    /** Opens the links and starts sending heartbeats. */
    void start();

    /** Marks this node as draining (about to refuse new requests) in all further heartbeats. */
    void setDraining() { this->draining = true; }

    /** Returns all nodes of the settings except this one. */
    const std::map<NodeId, PeerView> &peers() const { return this->views; }

    /** Returns the data centres without a connected node, except this node's own. */
    std::set<DataCentreId> unreachableDataCentres() const;

    /** Returns the number of connected nodes, including this one. */
    unsigned liveNodes() const;

private:
    struct Link
    {
        /** Empty until the peer's Hello is accepted. */
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
    /** The link to each peer that this node opened or is opening. */
    std::map<NodeId, FrameTransport::LinkId> outgoing;
    std::map<NodeId, PeerView> views;
    Instant recordsRequestedAt {};
    bool draining = false;
};

} // namespace bulrush
