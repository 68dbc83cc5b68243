#include "AppendSimulation.h"

#include <algorithm>
#include <utility>

namespace bulrush::test {

namespace {

/** The time in which a caller needs its answer. */
constexpr milliseconds callerLimit { 2750 };
constexpr milliseconds linkDelay { 1 };
constexpr milliseconds pollInterval { 50 };
constexpr milliseconds earlierTimeout { 700 };
constexpr milliseconds earlierRetry { 60 };
/** The partition refuses appends when more than this is queued. */
constexpr seconds partitionQueue { 2 };
/** When an owner that has not acknowledged a record is taken for one of an earlier version, and for
    how long. */
constexpr milliseconds acknowledgementTimeout { 500 };
constexpr seconds bar { 5 };
/** How long the owner takes to notice that the store is slow, and how often it announces it. */
constexpr milliseconds noticeDelay { 250 };
constexpr milliseconds noticeInterval { 500 };
/** How much earlier than the deadline the owner answers. */
constexpr milliseconds relayMargin { 100 };
constexpr std::size_t recordBytes = 600;
constexpr std::size_t appendBytes = 400'000;

} // namespace

AppendSimulation::AppendSimulation(const AppendLoad &appendLoad)
    : load(appendLoad)
    , now(this->start)
    , nodes(appendLoad.nodes)
{
    for (std::size_t number = 0; number < this->nodes.size(); ++number) {
        this->nodes[number].queue = std::make_unique<AppendQueue>(appendBytes, number);
    }
}

void AppendSimulation::at(Instant when, std::function<void()> action)
{
    this->events.push({ when, this->nextOrder++, std::move(action) });
}

AppendFigures AppendSimulation::run()
{
    const Duration interval = Duration(seconds(1)) / static_cast<std::int64_t>(this->load.rate);
    std::uint64_t id = 1;
    for (Instant when = this->start; when < this->start + this->load.end; when += interval) {
        this->at(when, [this, number = id++] { this->arrive(number); });
    }
    for (std::size_t node = 0; node < this->nodes.size(); ++node) {
        this->at(this->start, [this, node] { this->poll(node); });
    }
    if (this->load.mode == AppendMode::HandedOver && this->load.ownerAnswers) {
        this->at(this->start + this->load.slowFrom + noticeDelay,
                 [this] { this->announceSlowStore(); });
    }
    if (this->load.ownerFailsAt.count() > 0) {
        this->at(this->start + this->load.ownerFailsAt, [this] { this->failOwner(); });
    }
    const Instant end = this->start + this->load.end + 2 * callerLimit;
    while (!this->events.empty() && this->events.top().at < end) {
        const Event event = this->events.top();
        this->events.pop();
        this->now = event.at;
        event.action();
    }
    for (const auto &[number, caller] : this->callers) {
        this->figures.untrue += caller.refused && this->log.contains(number) ? 1 : 0;
    }
    return this->figures;
}

void AppendSimulation::arrive(std::uint64_t id)
{
    this->callers[id].arrivedAt = this->now;
    // A stride that is prime to the numbers of nodes spreads the records over all of them.
    constexpr std::uint64_t stride = 10007;
    const std::size_t node = id * stride % this->nodes.size();
    if (this->load.mode == AppendMode::EachAlone) {
        this->sendAlone(id);
        this->at(this->now + callerLimit, [this, id] { this->settle(id, AppendResult::Unknown); });
        return;
    }
    if (!this->nodes[node].up) {
        this->settle(id, AppendResult::NotDone);
        return;
    }
    QueuedAppend append;
    append.id = id;
    append.bytes = recordBytes;
    append.deadline = this->now + callerLimit;
    this->enqueue(node, append, { id, {} });
}

void AppendSimulation::sendAlone(std::uint64_t id)
{
    this->appendToStore({ id }, earlierTimeout, [this, id](AppendResult result) {
        Caller &caller = this->callers[id];
        caller.mayHaveTakenEffect = caller.mayHaveTakenEffect || result == AppendResult::Unknown;
        if (result == AppendResult::Recorded) {
            this->settle(id, result);
        } else if (!caller.answered) {
            this->at(this->now + earlierRetry, [this, id] {
                if (!this->callers[id].answered) {
                    this->sendAlone(id);
                }
            });
        }
    });
}

void AppendSimulation::enqueue(std::size_t node, const QueuedAppend &append, Item item)
{
    this->nodes[node].items[append.id] = std::move(item);
    this->nodes[node].queue->add(append);
    this->at(append.deadline, [this, node, id = append.id] { this->deadline(node, id); });
    this->pump(node);
}

void AppendSimulation::poll(std::size_t node)
{
    this->pump(node);
    this->at(this->now + pollInterval, [this, node] { this->poll(node); });
}

bool AppendSimulation::isSlow() const
{
    return this->now >= this->start + this->load.slowFrom
            && this->now < this->start + this->load.slowUntil;
}

void AppendSimulation::announceSlowStore()
{
    if (!this->nodes[0].up || !this->isSlow()) {
        return;
    }
    for (const Node &node : this->nodes) {
        node.queue->noteSlow(now);
    }
    this->at(this->now + noticeInterval, [this] { this->announceSlowStore(); });
}

void AppendSimulation::finish(std::size_t node, std::uint64_t id, AppendResult result)
{
    const auto found = this->nodes[node].items.find(id);
    if (found == this->nodes[node].items.end()) {
        return;
    }
    const Item item = std::move(found->second);
    this->nodes[node].items.erase(found);
    if (item.reply) {
        item.reply(result);
    } else {
        this->settle(item.record, result);
    }
}

void AppendSimulation::pump(std::size_t node)
{
    Node &self = this->nodes[node];
    if (!self.up) {
        return;
    }
    for (const RefusedAppend &refused : self.queue->takeRefused(this->now)) {
        this->finish(node, refused.id, AppendResult::NotInTime);
    }
    const bool canHandOver = this->load.mode == AppendMode::HandedOver && node != 0
            && this->nodes[0].up && this->now >= self.barredUntil;
    for (const OutgoingAppend &outgoing : self.queue->takeDue(this->now, canHandOver)) {
        this->send(node, outgoing);
    }
}

void AppendSimulation::send(std::size_t node, const OutgoingAppend &outgoing)
{
    Records records;
    for (const std::uint64_t id : outgoing.ids) {
        records.push_back(this->nodes[node].items[id].record);
    }
    const Reply reply = [this, node, outgoing](AppendResult result) {
        this->ended(node, outgoing, result);
    };
    if (outgoing.handOver) {
        this->handOver(node, outgoing, records.front(), reply);
    } else {
        this->appendToStore(records, outgoing.timeout, reply);
    }
}

void AppendSimulation::handOver(std::size_t node, const OutgoingAppend &outgoing,
                                std::uint64_t record, const Reply &reply)
{
    const auto answered = std::make_shared<bool>(false);
    const Reply once = [answered, reply](AppendResult result) {
        if (!std::exchange(*answered, true)) {
            reply(result);
        }
    };
    if (!this->load.ownerAnswers) {
        this->at(this->now + acknowledgementTimeout, [this, node, once] {
            this->nodes[node].barredUntil = this->now + bar;
            once(AppendResult::Unknown);
        });
        return;
    }
    QueuedAppend relayed;
    relayed.id = this->nextItem++;
    relayed.bytes = recordBytes;
    relayed.deadline = this->now + outgoing.timeout - relayMargin;
    const Reply overLink = [this, once](AppendResult result) {
        this->at(this->now + linkDelay, [once, result] { once(result); });
    };
    this->at(this->now + linkDelay, [this, relayed, record, overLink] {
        if (this->nodes[0].up) {
            this->enqueue(0, relayed, { record, overLink });
        } else {
            overLink(AppendResult::Unknown);
        }
    });
}

void AppendSimulation::ended(std::size_t node, const OutgoingAppend &outgoing, AppendResult result)
{
    Node &self = this->nodes[node];
    if (!self.up) {
        return;
    }
    self.queue->answered(outgoing.number, result, this->now);
    if (result == AppendResult::Recorded) {
        for (const std::uint64_t id : outgoing.ids) {
            this->finish(node, id, result);
        }
    }
    this->pump(node);
}

void AppendSimulation::deadline(std::size_t node, std::uint64_t id)
{
    AppendQueue &queue = *this->nodes[node].queue;
    if (!this->nodes[node].up) {
        return;
    }
    const bool unknown = queue.mayHaveTakenEffect(id);
    queue.remove(id);
    this->finish(node, id, unknown ? AppendResult::Unknown : AppendResult::NotInTime);
}

void AppendSimulation::appendToStore(const Records &records, Duration timeout, const Reply &reply)
{
    const bool slow = this->isSlow();
    const Duration service = slow ? this->load.slowService : this->load.quickService;
    const Duration delay = slow ? this->load.slowDelay : this->load.quickDelay;
    this->partitionFreeAt = std::max(this->partitionFreeAt, this->now);
    if (this->partitionFreeAt - this->now > partitionQueue) {
        this->at(this->now + delay, [reply] { reply(AppendResult::NotDone); });
        return;
    }
    this->partitionFreeAt += service;
    ++this->figures.appends;
    this->at(this->partitionFreeAt,
             [this, records] { this->log.insert(records.begin(), records.end()); });
    const Instant answerAt = this->partitionFreeAt + delay;
    const bool inTime = answerAt <= this->now + timeout;
    this->at(inTime ? answerAt : this->now + timeout,
             [reply, inTime] { reply(inTime ? AppendResult::Recorded : AppendResult::Unknown); });
}

void AppendSimulation::settle(std::uint64_t id, AppendResult result)
{
    Caller &caller = this->callers[id];
    if (std::exchange(caller.answered, true)) {
        return;
    }
    if (result == AppendResult::Recorded) {
        ++this->figures.recorded;
        this->figures.longestWait =
                std::max(this->figures.longestWait, this->now - caller.arrivedAt);
        this->figures.recordedWhileSlow += this->isSlow() ? 1 : 0;
    } else if (result != AppendResult::Unknown) {
        ++this->figures.refused;
        caller.refused = true;
    } else {
        ++this->figures.unknown;
    }
}

void AppendSimulation::failOwner()
{
    this->nodes[0].up = false;
    for (const auto &[id, item] : std::exchange(this->nodes[0].items, {})) {
        if (item.reply) {
            item.reply(AppendResult::Unknown);
        } else {
            this->settle(item.record, AppendResult::Unknown);
        }
    }
}

} // namespace bulrush::test
