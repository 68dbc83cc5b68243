#include "PeerMeasures.h"

#include "Meters.h"

#include "bulrush_wire/bulrush_wire.h"

#include <array>
#include <memory>

namespace bulrush::bench {

namespace {

constexpr std::array<std::size_t, 4> nodeCounts { 9, 30, 100, 300 };
constexpr std::array<std::size_t, 3> recordCounts { 1, 30, 300 };
constexpr std::size_t lengthBytes = 4; ///< length prefix of a frame
constexpr int heartbeatCount = 200;
constexpr int runs = 3;
constexpr std::size_t recordBytes = 360;

wire::Bytes heartbeat()
{
    wire::HeartbeatT message;
    message.records_next = 123'456;
    message.records_as_of = 123'456;
    message.requests_in_flight = 7;
    return wire::encode(message);
}

/** Encodes one heartbeat, and reads one from each of the other nodes. */
void exchangeHeartbeats(std::size_t nodes)
{
    const wire::Bytes own = heartbeat();
    std::uint64_t maxOffset = 0;
    for (std::size_t peer = 1; peer < nodes; ++peer) {
        const wire::Frame &frame = wire::readFrame(own, "entry-2");
        maxOffset = std::max(maxOffset, frame.message_as_Heartbeat()->records_next());
    }
}

wire::Bytes records(std::size_t count)
{
    wire::RecordsT message;
    message.stream = "records";
    for (std::size_t number = 0; number < count; ++number) {
        auto record = std::make_unique<wire::LogRecordT>();
        record->offset = number;
        record->body = std::string(recordBytes, 'r');
        message.records.push_back(std::move(record));
    }
    return wire::encode(std::move(message));
}

} // namespace

std::vector<Series> measurePeers()
{
    SeriesSet set("peers");
    const std::size_t frame = heartbeat().size() + lengthBytes;
    for (const std::size_t nodes : nodeCounts) {
        const auto size = static_cast<double>(nodes);
        // Both nodes of a pair open a link and send heartbeats on each open link.
        constexpr std::size_t linksPerPair = 2;
        const std::size_t sent = frame * linksPerPair * (nodes - 1);
        set.add("heartbeats sent in a period", "B", "nodes", { size, static_cast<double>(sent) });
        const double micros = minMicros(runs, [nodes] {
            for (int each = 0; each < heartbeatCount; ++each) {
                exchangeHeartbeats(nodes);
            }
        });
        set.add("heartbeats of a period", "us", "nodes", { size, micros / heartbeatCount });
    }
    for (const std::size_t count : recordCounts) {
        const wire::Bytes bytes = records(count);
        const auto size = static_cast<double>(count);
        set.add("records passed on", "B", "records of 360 B",
                { size, static_cast<double>(bytes.size() + lengthBytes) });
        set.add("records read", "us", "records of 360 B",
                { size, minMicros(runs, [&bytes] { wire::readFrame(bytes, "entry-2"); }) });
    }
    return set.take();
}

} // namespace bulrush::bench
