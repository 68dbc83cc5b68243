#include "bulrush_steps/follow/WorkerFollower.h"

#include "bulrush_core/errors/Error.h"
#include "bulrush_core/events/DecisionLog.h"

namespace bulrush {

namespace {

/** Workers write often, so the list is read at this interval rather than on every change. */
constexpr milliseconds readInterval { 250 };

/** The maximum number of keys that are remembered as malformed. */
constexpr std::size_t maxMalformedKeys = 1000;

} // namespace

WorkerFollower::WorkerFollower(const Clock &systemClock, KeyedLog &log,
                               const RecordDecoder &recordDecoder, DecisionLog &decisionLog,
                               Listener &listListener)
    : clock(systemClock)
    , decoder(recordDecoder)
    , decisions(decisionLog)
    , listener(listListener)
    , reader(log, LogStream::Workers, *this)
{
}

void WorkerFollower::tick()
{
    const Instant now = this->clock.now();
    if (this->reader.busy() || now < this->nextReadAt) {
        return;
    }
    this->nextReadAt = now + readInterval;
    this->reader.advance(milliseconds(0), [](StoreOutcome /*outcome*/) {});
}

void WorkerFollower::restart()
{
    this->reader.restart();
    this->listed.clear();
    this->nextReadAt = Instant();
}

void WorkerFollower::snapshotReadStarted(LogStream /*stream*/)
{
    this->unseen = this->listed;
}

void WorkerFollower::snapshotReadCompleted(LogStream /*stream*/)
{
    for (const TargetId &worker : this->unseen) {
        this->listed.erase(worker);
        this->listener.workerUnlisted(worker);
    }
    this->unseen.clear();
}

void WorkerFollower::recordRead(LogStream /*stream*/, const KeyedRecord &record)
{
    const TargetId worker(record.key);
    this->unseen.erase(worker);
    if (record.value.empty()) {
        if (this->listed.erase(worker) > 0) {
            this->listener.workerUnlisted(worker);
        }
        return;
    }
    try {
        const WorkerEntry entry = this->decoder.workerEntry(record.key, record.value);
        this->listed.insert(worker);
        this->listener.workerListed(entry);
    } catch (const Error &error) {
        if (this->malformedKeys.size() < maxMalformedKeys
            && this->malformedKeys.insert(record.key).second) {
            this->decisions.write(DecisionLine(Event::RecordIgnored)
                                          .with("key", record.key)
                                          .with("offset", record.offset)
                                          .with("reason", error.what()));
        }
    }
}

} // namespace bulrush
