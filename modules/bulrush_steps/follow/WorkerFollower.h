#pragma once

#include "bulrush_steps/follow/StreamScan.h"
#include "bulrush_steps/ports/RecordDecoder.h"

#include <map>
#include <set>
#include <string>

namespace bulrush {

class DecisionLog;

/** Keeps the list of workers, as they say of themselves in the store. Only the owner reads it. */
class WorkerFollower : private StreamScan::Listener
{
public:
    /** Receives changes of the list. */
    struct Listener
    {
        virtual ~Listener() = default;
        virtual void workerListed(const WorkerEntry &entry) = 0;
        virtual void workerUnlisted(const TargetId &worker) = 0;
    };

    WorkerFollower(const Clock &clock, KeyedLog &log, const RecordDecoder &decoder,
                   DecisionLog &decisions, Listener &listener);

    /** Reads on when it is time. */
    void tick();

    /** Forgets the list; the next tick begins anew. */
    void restart();

private:
    void scanBegins(LogStream stream) override;
    void recordRead(LogStream stream, const KeyedRecord &record) override;
    void scanEnded(LogStream stream) override;

    const Clock &clock;
    const RecordDecoder &decoder;
    DecisionLog &decisions;
    Listener &listener;
    StreamScan scan;
    Instant nextAt {};
    std::set<TargetId> listed;
    /** Workers that the newest records have not named yet. */
    std::set<TargetId> unseen;
    /** Keys whose malformed records were logged. */
    std::set<std::string> ignoredKeys;
};

} // namespace bulrush
