#include "bulrush_node/peers/PeerMesh.h"

#include <algorithm>
#include <array>

namespace bulrush {

namespace {

constexpr std::string_view recordsStream = "records";

/** Time without an answer after which records are requested again, from any peer. */
constexpr Duration recordsRequestTimeout = seconds(1);

/** Compares in a time that does not depend on where the keys differ. */
bool constantTimeEqual(std::string_view left, std::string_view right)
{
    unsigned difference = left.size() == right.size() ? 0U : 1U;
    for (std::size_t index = 0; index < left.size() && !right.empty(); ++index) {
        const auto a = static_cast<unsigned char>(left[index]);
        const auto b = static_cast<unsigned char>(right[index % right.size()]);
        difference |= static_cast<unsigned>(a ^ b);
    }
    return difference == 0;
}

std::string_view textOf(const flatbuffers::String *text)
{
    return text == nullptr ? std::string_view() : std::string_view(text->c_str(), text->size());
}

} // namespace

PeerMesh::PeerMesh(EventLoop &owningLoop, const Clock &runtimeClock,
                   const MeshSettings &meshSettings, NodeMetrics &nodeMetrics, EventLog &eventLog,
                   Listener &meshListener)
    : loop(owningLoop)
    , clock(runtimeClock)
    , settings(meshSettings)
    , metrics(nodeMetrics)
    , events(eventLog)
    , listener(meshListener)
    , transport(owningLoop, meshSettings.listen, FrameTransport::Limits(), *this)
{
    for (const PeerAddress &peer : this->settings.peers) {
        if (peer.node != this->settings.node) {
            this->views[peer.node].dataCentre = peer.dataCentre;
        }
    }
}

void PeerMesh::start()
{
    this->sendHeartbeats();
    this->loop.scheduleEvery(this->settings.heartbeat, [this] { this->sendHeartbeats(); });
}

std::set<DataCentreId> PeerMesh::unreachableDataCentres() const
{
    std::set<DataCentreId> inactive;
    for (const auto &[node, view] : this->views) {
        inactive.insert(view.dataCentre);
    }
    for (const auto &[node, view] : this->views) {
        if (view.connected) {
            inactive.erase(view.dataCentre);
        }
    }
    inactive.erase(this->settings.dataCentre);
    return inactive;
}

unsigned PeerMesh::liveNodes() const
{
    const auto live = std::count_if(this->views.begin(), this->views.end(),
                                    [](const auto &entry) { return entry.second.connected; });
    return 1 + static_cast<unsigned>(live);
}

//==============================================================================
void PeerMesh::linkOpened(FrameTransport::LinkId link, bool accepted)
{
    Link &opened = this->links[link];
    opened.outgoing = !accepted;
    opened.openedAt = this->clock.now();
    opened.lastReceivedAt = opened.openedAt;
    wire::HelloT hello;
    hello.version = wire::frameVersion;
    hello.node = this->settings.node.name();
    hello.data_centre = this->settings.dataCentre.name();
    hello.key = this->settings.key;
    this->send(link, wire::encode(std::move(hello)));
}

void PeerMesh::frameArrived(FrameTransport::LinkId link, std::span<const std::uint8_t> bytes)
{
    const auto found = this->links.find(link);
    if (found == this->links.end()) {
        return;
    }
    try {
        const wire::Frame &frame = wire::readFrame(bytes, found->second.node.name());
        if (found->second.node.isEmpty() && frame.message_type() != wire::Message::Hello) {
            this->rejectLink(link, "the first frame is not a Hello");
            return;
        }
        found->second.lastReceivedAt = this->clock.now();
        if (!found->second.node.isEmpty()) {
            this->views[found->second.node].lastReceivedAt = this->clock.now();
        }
        (this->*handlerOf(frame.message_type()))(link, frame);
    } catch (const Error &error) {
        this->rejectLink(link, error.what());
    }
}

void PeerMesh::linkClosed(FrameTransport::LinkId link, std::string_view reason)
{
    this->removeLink(link, reason);
}

PeerMesh::Handler PeerMesh::handlerOf(wire::Message kind)
{
    constexpr std::array<Handler, 7> handlers {
        nullptr,
        &PeerMesh::handleHello,
        &PeerMesh::handleHeartbeat,
        &PeerMesh::handleRecordsRequest,
        &PeerMesh::handleRecords,
        &PeerMesh::handleStateRequest,
        &PeerMesh::handleState,
    };
    const auto index = static_cast<std::size_t>(kind);
    if (index == 0 || index >= handlers.size()) {
        throw Error("read frame", "", "unknown message type");
    }
    return handlers.at(index);
}

//==============================================================================
void PeerMesh::handleHello(FrameTransport::LinkId link, const wire::Frame &frame)
{
    const wire::Hello &hello = *frame.message_as_Hello();
    if (hello.version() != wire::frameVersion) {
        this->rejectLink(link, "unsupported frame version " + std::to_string(hello.version()));
        return;
    }
    if (!constantTimeEqual(textOf(hello.key()), this->settings.key)) {
        this->rejectLink(link, "the key does not match");
        return;
    }
    const NodeId node(textOf(hello.node()));
    const auto view = this->views.find(node);
    if (view == this->views.end()) {
        this->rejectLink(link,
                         "node '" + node.name() + "' is not listed in the peers of the settings");
        return;
    }
    this->links[link].node = node;
    view->second.lastReceivedAt = this->clock.now();
    if (!view->second.connected) {
        view->second.connected = true;
        this->events.write(Event::PeerConnected, node.name(), view->second.dataCentre.name());
        this->listener.peersChanged();
    }
}

void PeerMesh::handleHeartbeat(FrameTransport::LinkId link, const wire::Frame &frame)
{
    const wire::Heartbeat &heartbeat = *frame.message_as_Heartbeat();
    const NodeId node = this->links.at(link).node;
    PeerView &view = this->views[node];
    view.recordsNext = heartbeat.records_next();
    if (view.draining != heartbeat.draining()) {
        view.draining = heartbeat.draining();
        this->listener.peersChanged();
    }
    this->requestRecords(node, link);
}

void PeerMesh::requestRecords(const NodeId &node, FrameTransport::LinkId link)
{
    const LogOffset next = this->listener.recordsNext();
    const bool requestPending =
            this->recordsRequestedAt + recordsRequestTimeout > this->clock.now();
    if (this->views[node].recordsNext <= next || requestPending || !this->listener.wantsRecords()) {
        return;
    }
    this->recordsRequestedAt = this->clock.now();
    wire::RecordsRequestT request;
    request.stream = recordsStream;
    request.from = next;
    this->send(link, wire::encode(std::move(request)));
}

void PeerMesh::handleRecordsRequest(FrameTransport::LinkId link, const wire::Frame &frame)
{
    const LogOffset from = frame.message_as_RecordsRequest()->from();
    const auto entries = this->listener.recordsFrom(from);
    if (!entries) {
        this->sendState(link);
        return;
    }
    wire::RecordsT answer;
    answer.stream = recordsStream;
    for (const LogEntry &entry : *entries) {
        auto record = std::make_unique<wire::LogRecordT>();
        record->offset = entry.offset;
        record->body = entry.text;
        answer.records.push_back(std::move(record));
    }
    this->send(link, wire::encode(std::move(answer)));
}

void PeerMesh::handleRecords(FrameTransport::LinkId link, const wire::Frame &frame)
{
    const wire::Records &records = *frame.message_as_Records();
    std::vector<LogEntry> entries;
    if (records.records() != nullptr) {
        for (const wire::LogRecord *record : *records.records()) {
            entries.push_back({ record->offset(), std::string(textOf(record->body())) });
        }
    }
    this->recordsRequestedAt = {};
    this->listener.recordsFromPeer(this->links.at(link).node, entries);
}

void PeerMesh::handleStateRequest(FrameTransport::LinkId link, const wire::Frame & /*frame*/)
{
    this->sendState(link);
}

void PeerMesh::sendState(FrameTransport::LinkId link)
{
    wire::StateT state;
    state.stream = recordsStream;
    state.next = this->listener.recordsNext();
    state.body = this->listener.exportState();
    this->send(link, wire::encode(std::move(state)));
}

void PeerMesh::handleState(FrameTransport::LinkId link, const wire::Frame &frame)
{
    this->recordsRequestedAt = {};
    const std::string_view body = textOf(frame.message_as_State()->body());
    if (!body.empty()) {
        this->listener.stateFromPeer(this->links.at(link).node, body);
    }
}

//==============================================================================
void PeerMesh::sendHeartbeats()
{
    this->closeInactiveLinks();
    this->openMissingLinks();
    wire::HeartbeatT heartbeat;
    heartbeat.records_next = this->listener.recordsNext();
    heartbeat.draining = this->draining;
    const wire::Bytes bytes = wire::encode(heartbeat);
    for (const auto &[id, link] : this->links) {
        if (!link.node.isEmpty()) {
            this->send(id, bytes);
        }
    }
    this->metrics.set("bulrush_peers_connected", this->liveNodes() - 1);
}

void PeerMesh::openMissingLinks()
{
    for (const PeerAddress &peer : this->settings.peers) {
        if (peer.node != this->settings.node && !this->outgoing.contains(peer.node)) {
            this->outgoing[peer.node] = this->transport.connect(peer.endpoint);
        }
    }
}

void PeerMesh::closeInactiveLinks()
{
    std::vector<FrameTransport::LinkId> inactive;
    for (const auto &[id, link] : this->links) {
        if (link.lastReceivedAt + this->settings.linkTimeout < this->clock.now()) {
            inactive.push_back(id);
        }
    }
    for (const FrameTransport::LinkId id : inactive) {
        this->transport.close(id);
        this->removeLink(id, "silent");
    }
}

void PeerMesh::send(FrameTransport::LinkId link, const wire::Bytes &bytes)
{
    if (this->transport.send(link, bytes)) {
        this->metrics.count("bulrush_peer_frames_sent_total");
        this->metrics.count("bulrush_peer_bytes_sent_total", double(bytes.size()));
    }
}

void PeerMesh::rejectLink(FrameTransport::LinkId link, std::string_view reason)
{
    this->events.write(Event::PeerFrameRefused, this->links[link].node.name(), reason);
    this->transport.close(link);
    this->removeLink(link, reason);
}

void PeerMesh::removeLink(FrameTransport::LinkId id, std::string_view reason)
{
    const auto found = this->links.find(id);
    const NodeId node = found == this->links.end() ? NodeId() : found->second.node;
    if (found != this->links.end()) {
        this->links.erase(found);
    }
    std::erase_if(this->outgoing, [id](const auto &entry) { return entry.second == id; });
    const bool hasOtherLink =
            std::any_of(this->links.begin(), this->links.end(),
                        [&node](const auto &entry) { return entry.second.node == node; });
    const auto view = this->views.find(node);
    if (view != this->views.end() && view->second.connected && !hasOtherLink) {
        view->second.connected = false;
        this->events.write(Event::PeerLost, node.name(), reason);
        this->listener.peersChanged();
    }
}

} // namespace bulrush
