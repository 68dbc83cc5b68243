#pragma once

#include "bulrush_steps/follow/StreamReader.h"
#include "bulrush_steps/ports/RecordDecoder.h"

#include <map>
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
        virtual void workerUnlisted(const TargetId &worker) = 0;
    };

    WorkerFollower(const Clock &clock, KeyedLog &log, const RecordDecoder &decoder,
                   DecisionLog &decisions, Listener &listener);

    /** Starts the next read when it is due and none is in flight. */
    void tick();

    /** Discards the list; the next tick reads it again from the start. */
    void restart();

private:
    void snapshotReadStarted(LogStream stream) override;
    void recordRead(LogStream stream, const KeyedRecord &record) override;
    void snapshotReadCompleted(LogStream stream) override;

    const Clock &clock;
    const RecordDecoder &decoder;
    DecisionLog &decisions;
    Listener &listener;
    StreamReader reader;
    Instant nextReadAt {};
    std::set<TargetId> listed;
    /** Listed workers that have not appeared yet among the newest records. */
    std::set<TargetId> unseen;
    /** Keys whose malformed record has been logged already. */
    std::set<std::string> malformedKeys;
};

} // namespace bulrush
