#pragma once

#include "bulrush_evacuation/requests/EvacuationRequests.h"
#include "bulrush_steps/follow/StreamReader.h"
#include "bulrush_steps/ports/RecordDecoder.h"

#include <functional>
#include <optional>
#include <set>
#include <vector>

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

    /** Has evacuation requests followed as well, which are ignored otherwise.
        @param dataCentres those for which requests are accepted; all when it is empty */
    void followEvacuations(std::vector<DataCentreId> dataCentres);

    /** Returns the evacuation requests in force; none unless they are followed. */
    const EvacuationRequests &evacuations() const { return this->requests; }

    /** Starts the next read when none is in flight and the retry delay is over. */
    void tick();

    /** Returns the active configuration; none before the first was read. */
    const std::optional<ServingConfig> &config() const { return this->active; }

private:
    void snapshotReadStarted(LogStream /*stream*/) override { this->requests.beginReread(); }
    void recordRead(LogStream stream, const KeyedRecord &record) override;
    void snapshotReadCompleted(LogStream stream) override;
    void readServingConfig(const KeyedRecord &record);
    void readEvacuation(const KeyedRecord &record);
    void reportEnded(const DataCentreId &dataCentre, const EvacuationRequest &request);
    void reportIgnored(const KeyedRecord &record, std::string_view reason);

    const Clock &clock;
    const RecordDecoder &decoder;
    DecisionLog &decisions;
    const milliseconds wait;
    std::function<void()> configChanged;
    StreamReader reader;
    Instant retryAt {};
    std::optional<ServingConfig> active;
    bool followsEvacuations = false;
    /** The data centres for which requests are accepted; all when it is empty. */
    std::vector<DataCentreId> knownDataCentres;
    EvacuationRequests requests;
    /** The offsets of requests that were reported as ignored, so that each is reported once. */
    std::set<LogOffset> ignoredRequests;
};

} // namespace bulrush
