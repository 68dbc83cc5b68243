#pragma once

#include "bulrush_steps/follow/StreamScan.h"
#include "bulrush_steps/ports/RecordDecoder.h"

#include <functional>
#include <optional>

namespace bulrush {

class DecisionLog;

/** Keeps the operators' newest configuration. A version in force is never replaced by an older one.
 */
class ConfigFollower : private StreamScan::Listener
{
public:
    /** @param changed called when a version has come into force */
    ConfigFollower(const Clock &clock, KeyedLog &log, const RecordDecoder &decoder,
                   DecisionLog &decisions, milliseconds wait, std::function<void()> changed);

    /** Asks for changes when no question is open. */
    void tick();

    /** Returns the configuration in force; none before the first. */
    const std::optional<ServingConfig> &config() const { return this->inForce; }

private:
    void scanBegins(LogStream /*stream*/) override { }
    void recordRead(LogStream stream, const KeyedRecord &record) override;
    void scanEnded(LogStream /*stream*/) override { }

    const Clock &clock;
    const RecordDecoder &decoder;
    DecisionLog &decisions;
    const milliseconds wait;
    std::function<void()> onChange;
    StreamScan scan;
    Instant retryAt {};
    std::optional<ServingConfig> inForce;
};

} // namespace bulrush
