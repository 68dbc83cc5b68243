#pragma once

#include "bulrush_steps/follow/StreamReader.h"
#include "bulrush_steps/ports/RecordDecoder.h"

#include <functional>
#include <optional>

namespace bulrush {

class DecisionLog;

/** Follows the operators' configuration in the log. The active version is never replaced by an
    older one. */
class ConfigFollower : private StreamReader::Listener
{
public:
    /** @param wait how long the store waits for a new record before it answers
        @param changed called when a new version has become active */
    ConfigFollower(const Clock &clock, KeyedLog &log, const RecordDecoder &decoder,
                   DecisionLog &decisions, milliseconds wait, std::function<void()> changed);

    /** Starts the next read when none is in flight and the retry delay is over. */
    void tick();

    /** Returns the active configuration; none before the first was read. */
    const std::optional<ServingConfig> &config() const { return this->active; }

private:
    void snapshotReadStarted(LogStream /*stream*/) override { }
    void recordRead(LogStream stream, const KeyedRecord &record) override;
    void snapshotReadCompleted(LogStream /*stream*/) override { }

    const Clock &clock;
    const RecordDecoder &decoder;
    DecisionLog &decisions;
    const milliseconds wait;
    std::function<void()> configChanged;
    StreamReader reader;
    Instant retryAt {};
    std::optional<ServingConfig> active;
};

} // namespace bulrush
