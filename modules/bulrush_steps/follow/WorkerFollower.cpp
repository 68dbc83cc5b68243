#include "bulrush_steps/follow/WorkerFollower.h"

#include "bulrush_core/errors/Error.h"
#include "bulrush_core/events/DecisionLog.h"

namespace bulrush {

namespace {

/** Workers write often, so the list is read at this interval rather than on every change. */
constexpr milliseconds readInterval { 250 };

/** An entry that is gone within this many heartbeats of being written was removed by its worker:
   the platform waits for three. */
constexpr int maxHeartbeatsOfDeregistration = 2;

/** The maximum number of keys that are remembered as malformed. */
constexpr std::size_t maxMalformedKeys = 1000;

} // namespace

WorkerFollower::WorkerFollower(const Clock &systemClock, KeyedLog &log,
                               const RecordDecoder &recordDecoder, milliseconds heartbeatInterval,
                               DecisionLog &decisionLog, Listener &listListener)
    : clock(systemClock)
    , decoder(recordDecoder)
    , decisions(decisionLog)
    , listener(listListener)
    , heartbeat(heartbeatInterval)
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
    this->reader.advance(milliseconds(0), [this, now](StoreOutcome outcome) {
        if (outcome == StoreOutcome::Done && this->reader.caughtUp()) {
            this->unreadSince = now;
        }
    });
}

void WorkerFollower::restart()
{
    this->reader.restart();
    this->listed.clear();
    this->unreadSince.reset();
    this->nextReadAt = Instant();
}

void WorkerFollower::snapshotReadStarted(LogStream /*stream*/)
{
    // The records in between are not read, so it is not known when an entry was written.
    this->unreadSince.reset();
    this->unseen.clear();
    for (const auto &[worker, writtenAfter] : this->listed) {
        this->unseen.insert(worker);
    }
}

void WorkerFollower::snapshotReadCompleted(LogStream /*stream*/)
{
    for (const TargetId &worker : this->unseen) {
        this->listed.erase(worker);
        this->listener.workerUnlisted(worker, RemovalCause::Unknown);
    }
    this->unseen.clear();
}

RemovalCause WorkerFollower::causeOfRemoval(const TargetId &worker) const
{
    const auto found = this->listed.find(worker);
    if (found == this->listed.end() || !found->second) {
        return RemovalCause::Unknown;
    }
    const Duration sinceHeartbeat = this->clock.now() - *found->second;
    return sinceHeartbeat <= this->heartbeat * maxHeartbeatsOfDeregistration
            ? RemovalCause::Deregistered
            : RemovalCause::Unknown;
}

void WorkerFollower::recordRead(LogStream /*stream*/, const KeyedRecord &record)
{
    const TargetId worker(record.key);
    this->unseen.erase(worker);
    if (record.value.empty()) {
        const RemovalCause cause = this->causeOfRemoval(worker);
        if (this->listed.erase(worker) > 0) {
            this->listener.workerUnlisted(worker, cause);
        }
        return;
    }
    try {
        const WorkerEntry entry = this->decoder.workerEntry(record.key, record.value);
        this->listed.insert_or_assign(worker, this->unreadSince);
        this->listener.workerListed(entry);
    } catch (const Error &error) {
        // Another writer's record names no worker to use, and says nothing of how the worker fares.
        if (this->listed.erase(worker) > 0) {
            this->listener.workerUnlisted(worker, RemovalCause::Unknown);
        }
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
