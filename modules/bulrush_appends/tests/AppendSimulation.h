#pragma once

#include "bulrush_appends/flow/AppendQueue.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <vector>

namespace bulrush::test {

/** How the nodes of a simulation send their records. */
enum class AppendMode : std::uint8_t {
    /** An append for each record, abandoned after 0.7 s and repeated every 60 ms. */
    EachAlone,
    /** With an AppendQueue on each node, without handing records over. */
    Grouped,
    /** Also handed over to the owner, which is node 0. */
    HandedOver,
};

struct AppendLoad
{
    AppendMode mode = AppendMode::HandedOver;
    std::size_t nodes = 35;
    /** Records that arrive in a second, at all nodes together. */
    std::size_t rate = 64;
    /** How long the partition takes for one append, and how long an answer takes otherwise, while
        the store is quick and while it is slow. */
    milliseconds quickService { 1 };
    milliseconds quickDelay { 3 };
    milliseconds slowService { 60 };
    milliseconds slowDelay { 180 };
    milliseconds slowFrom { 2000 };
    milliseconds slowUntil { 10000 };
    milliseconds end { 14000 };
    /** When the owner fails: with the records in its queue, answered by a closed link. Zero: never.
     */
    milliseconds ownerFailsAt { 0 };
    /** Whether the owner acknowledges records; one of an earlier version does not. */
    bool ownerAnswers = true;
};

/** What the callers were told. */
struct AppendFigures
{
    std::size_t recorded = 0;
    std::size_t refused = 0;
    std::size_t unknown = 0;
    /** Records that were refused and are in the log all the same. */
    std::size_t untrue = 0;
    /** Appends that the store carried out. */
    std::size_t appends = 0;
    /** The longest time until a caller was told that its record is in the log. */
    Duration longestWait {};
    /** Records that callers were told of as recorded while the store was slow. */
    std::size_t recordedWhileSlow = 0;
};

/** Nodes that append callers' records to one partition, in simulated time. */
class AppendSimulation
{
public:
    explicit AppendSimulation(const AppendLoad &load);

    AppendFigures run();

private:
    using Reply = std::function<void(AppendResult)>;
    using Records = std::vector<std::uint64_t>;

    struct Event
    {
        Instant at {};
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return std::tie(other.at, other.order) < std::tie(this->at, this->order);
        }
    };

    /** A record in the queue of a node. */
    struct Item
    {
        std::uint64_t record = 0;
        /** Empty for a record of an own caller. */
        Reply reply;
    };

    struct Node
    {
        std::unique_ptr<AppendQueue> queue;
        std::map<std::uint64_t, Item> items;
        bool up = true;
        /** Until when nothing is handed over, since the owner did not acknowledge a record. */
        Instant barredUntil {};
    };

    struct Caller
    {
        Instant arrivedAt {};
        bool answered = false;
        bool mayHaveTakenEffect = false;
        bool refused = false;
    };

    void at(Instant when, std::function<void()> action);
    void arrive(std::uint64_t id);
    void sendAlone(std::uint64_t id);
    void enqueue(std::size_t node, const QueuedAppend &append, Item item);
    void poll(std::size_t node);
    void pump(std::size_t node);
    void send(std::size_t node, const OutgoingAppend &outgoing);
    void ended(std::size_t node, const OutgoingAppend &outgoing, AppendResult result);
    void handOver(std::size_t node, const OutgoingAppend &outgoing, std::uint64_t record,
                  const Reply &reply);
    void finish(std::size_t node, std::uint64_t id, AppendResult result);
    void announceSlowStore();
    bool isSlow() const;
    void deadline(std::size_t node, std::uint64_t item);
    void appendToStore(const Records &records, Duration timeout, const Reply &reply);
    void settle(std::uint64_t id, AppendResult result);
    void failOwner();

    const AppendLoad load;
    Instant start { hours(1) };
    Instant now;
    std::uint64_t nextOrder = 0;
    std::priority_queue<Event> events;
    std::vector<Node> nodes;
    std::map<std::uint64_t, Caller> callers;
    std::uint64_t nextItem = 1U << 30U;
    Instant partitionFreeAt {};
    std::set<std::uint64_t> log;
    AppendFigures figures;
};

} // namespace bulrush::test
