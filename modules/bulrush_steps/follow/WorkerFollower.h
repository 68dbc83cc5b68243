#pragma once

#include "bulrush_steps/follow/StreamReader.h"
#include "bulrush_steps/ports/RecordDecoder.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace bulrush {

class DecisionLog;

/** Follows the list of workers, in which each worker registers itself. Only the owner reads it. */
class WorkerFollower : private StreamReader::Listener
{
public:
    /** Receives changes to the list. */
    struct Listener
    {
        virtual ~Listener() = default;
        virtual void workerListed(const WorkerEntry &entry) = 0;
        virtual void workerUnlisted(const TargetId &worker, RemovalCause cause) = 0;
    };

    /** @param heartbeat interval at which workers write their entries; the platform removes an
                         entry after three intervals without a write. 0 when it is not known: then
                         no removal is taken for the worker's own */
    WorkerFollower(const Clock &clock, KeyedLog &log, const RecordDecoder &decoder,
                   milliseconds heartbeat, DecisionLog &decisions, Listener &listener);

    /** Starts the next read when it is due and none is in flight. */
    void tick();

    /** Discards the list; the next tick reads it again from the start. */
    void restart();

private:
    void snapshotReadStarted(LogStream stream) override;
    void recordRead(LogStream stream, const KeyedRecord &record) override;
    void snapshotReadCompleted(LogStream stream) override;

    /** Returns why an entry that was just read to be removed is gone. */
    RemovalCause causeOfRemoval(const TargetId &worker) const;

    const Clock &clock;
    const RecordDecoder &decoder;
    DecisionLog &decisions;
    Listener &listener;
    const milliseconds heartbeat;
    StreamReader reader;
    Instant nextReadAt {};
    /** All that is still unread was written after this moment, at which the last read that reached
        the end of the stream was sent. */
    std::optional<Instant> unreadSince;
    /** The listed workers, each with the earliest moment at which its newest entry can have been
        written, if that is known. */
    std::map<TargetId, std::optional<Instant>> listed;
    /** Listed workers that have not appeared yet among the newest records. */
    std::set<TargetId> unseen;
    /** Keys whose malformed record has been logged already. */
    std::set<std::string> malformedKeys;
};

} // namespace bulrush
