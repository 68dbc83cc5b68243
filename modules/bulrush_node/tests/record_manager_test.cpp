#include "bulrush_core/bulrush_core.h"
#include "bulrush_node/control/RecordManager.h"

#include <criterion/criterion.h>

#include <memory>

using namespace bulrush;

namespace {

/** Holds one stream in memory and answers every call at once; a page holds all entries. */
struct MemoryLog : Log
{
    void append(std::string_view /*stream*/, std::string body, AppendCallback callback) override
    {
        this->entries.push_back(std::move(body));
        callback(this->entries.size() - 1);
    }

    void read(std::string_view /*stream*/, LogOffset from, Duration /*wait*/,
              ReadCallback callback) override
    {
        LogPage page { 0, this->entries.size(), {} };
        for (LogOffset offset = from; offset < this->entries.size(); ++offset) {
            page.entries.push_back({ offset, this->entries[offset] });
        }
        callback(page);
    }

    std::vector<std::string> entries;
};

struct IgnoringListener : RecordManager::Listener
{
    void recordsChanged() override { ++this->changes; }
    void logAvailabilityChanged(bool /*available*/) override { }

    int changes = 0;
};

std::string serviceRecord(int number)
{
    const std::string text = std::to_string(number);
    return R"({"schema":"service/1","kind":"service","name":"s)" + text + R"(","id":"id)" + text
            + R"(","supersedes":"","publisher":"p","body":{"team":"t","deadlineMs":100,"targets":[)"
            + R"({"target":"a","dataCentre":"d","address":"127.0.0.1","port":1,"slots":8}]}})";
}

/** Several nodes that read one log. */
struct Nodes
{
    explicit Nodes(int count)
    {
        this->events.setThreshold(Severity::Error);
        for (int node = 0; node < count; ++node) {
            const NodeId id("node-" + std::to_string(node));
            this->managers.push_back(std::make_unique<RecordManager>(this->loop, this->clock,
                                                                     this->log, id, seconds(1),
                                                                     this->events, this->listener));
            this->managers.back()->start();
        }
    }

    /** Advances the clock in steps of 30 s; in each step every node reads the log. */
    void advance(Duration span)
    {
        constexpr Duration step = seconds(30);
        for (Duration passed {}; passed < span; passed += step) {
            this->clock.advance(step);
            for (int reads = 0; reads < 3; ++reads) {
                this->loop.runOnce();
            }
        }
    }

    bool areAllAt(LogOffset offset) const
    {
        return std::all_of(
                this->managers.begin(), this->managers.end(),
                [offset](const auto &manager) { return manager->state().nextOffset() == offset; });
    }

    EventLoop loop;
    ManualClock clock;
    EventLog events { "test" };
    MemoryLog log;
    IgnoringListener listener;
    std::vector<std::unique_ptr<RecordManager>> managers;
};

} // namespace

Test(RecordManager, severalNodesTogetherWriteAtMostTwoSnapshots)
{
    constexpr int records = 600;
    Nodes nodes(9);
    for (int number = 0; number < records; ++number) {
        nodes.log.entries.push_back(serviceRecord(number));
    }
    nodes.advance(hours(1));
    cr_assert_eq(nodes.log.entries.size(), records, "a snapshot was written too early");
    nodes.advance(hours(2));
    const std::size_t parts = snapshotParts(nodes.managers.front()->state()).size();
    const std::size_t written = nodes.log.entries.size() - records;
    cr_assert_geq(written, parts, "no complete snapshot was written");
    cr_assert_leq(written, 2 * parts, "%zu entries of snapshots of %zu parts", written, parts);
    cr_assert(nodes.areAllAt(nodes.log.entries.size()));
}

Test(RecordManager, peerRecordsAreAppliedOnlyWithoutGaps)
{
    Nodes nodes(1);
    RecordManager &manager = *nodes.managers.front();
    manager.applyPeerEntries(NodeId("peer"), { { 1, serviceRecord(1) } });
    cr_assert_eq(manager.state().nextOffset(), 0U);
    manager.applyPeerEntries(NodeId("peer"), { { 0, serviceRecord(0) }, { 1, serviceRecord(1) } });
    cr_assert_eq(manager.state().nextOffset(), 2U);
    const auto kept = manager.entriesFrom(1);
    cr_assert(kept.has_value());
    cr_assert_eq(kept->size(), 1U);
    cr_assert_not(manager.entriesFrom(0)->empty());
}
