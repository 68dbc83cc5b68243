#include "bulrush_steps/follow/ConfigFollower.h"

#include "bulrush_core/errors/Error.h"
#include "bulrush_core/events/DecisionLog.h"

namespace bulrush {

namespace {

/** The delay before a read is retried after it failed. */
constexpr milliseconds retryDelay { 150 };

} // namespace

ConfigFollower::ConfigFollower(const Clock &systemClock, KeyedLog &log,
                               const RecordDecoder &recordDecoder, DecisionLog &decisionLog,
                               milliseconds waitTime, std::function<void()> changed)
    : clock(systemClock)
    , decoder(recordDecoder)
    , decisions(decisionLog)
    , wait(waitTime)
    , configChanged(std::move(changed))
    , reader(log, LogStream::Configuration, *this)
{
}

void ConfigFollower::tick()
{
    if (this->reader.busy() || this->clock.now() < this->retryAt) {
        return;
    }
    this->reader.advance(this->wait, [this](StoreOutcome outcome) {
        if (outcome != StoreOutcome::Done) {
            this->retryAt = this->clock.now() + retryDelay;
        }
    });
}

void ConfigFollower::recordRead(LogStream /*stream*/, const KeyedRecord &record)
{
    if (!this->decoder.isServingConfig(record.key) || record.value.empty()) {
        return;
    }
    try {
        ServingConfig config = this->decoder.servingConfig(record.value);
        if (this->active && config.version <= this->active->version) {
            return;
        }
        this->active = std::move(config);
    } catch (const Error &error) {
        this->decisions.write(DecisionLine(Event::RecordIgnored)
                                      .with("key", record.key)
                                      .with("offset", record.offset)
                                      .with("reason", error.what()));
        return;
    }
    this->decisions.write(
            DecisionLine(Event::ConfigApplied)
                    .with("version", this->active->version)
                    .with("offset", record.offset)
                    .with("queues", static_cast<std::int64_t>(this->active->queues.size())));
    this->configChanged();
}

} // namespace bulrush
