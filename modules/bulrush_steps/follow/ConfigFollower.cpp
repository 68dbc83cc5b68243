#include "bulrush_steps/follow/ConfigFollower.h"

#include "bulrush_core/errors/Error.h"
#include "bulrush_core/events/DecisionLog.h"

#include <algorithm>
#include <utility>

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

void ConfigFollower::followEvacuations(std::vector<DataCentreId> dataCentres)
{
    this->followsEvacuations = true;
    this->knownDataCentres = std::move(dataCentres);
}

void ConfigFollower::tick()
{
    if (this->reader.busy() || this->clock.now() < this->retryAt) {
        return;
    }
    // A long poll right after the newest records would delay the first reading to the end.
    const bool polls = !this->followsEvacuations || this->reader.caughtUp();
    this->reader.advance(polls ? this->wait : milliseconds(0),
                         [this, sentAt = this->clock.now()](StoreOutcome outcome) {
                             if (outcome != StoreOutcome::Done) {
                                 this->retryAt = this->clock.now() + retryDelay;
                             } else if (this->reader.caughtUp()) {
                                 this->requests.readToEnd(sentAt);
                             }
                         });
}

void ConfigFollower::recordRead(LogStream /*stream*/, const KeyedRecord &record)
{
    if (this->followsEvacuations && this->decoder.isEvacuationRequest(record.key)) {
        this->readEvacuation(record);
    } else if (this->decoder.isServingConfig(record.key) && !record.value.empty()) {
        this->readServingConfig(record);
    }
}

void ConfigFollower::readEvacuation(const KeyedRecord &record)
{
    DataCentreId dataCentre;
    try {
        dataCentre = this->decoder.evacuatedDataCentre(record.key);
    } catch (const Error &error) {
        this->reportIgnored(record, error.what());
        return;
    }
    const std::vector<DataCentreId> &known = this->knownDataCentres;
    if (!known.empty() && std::find(known.begin(), known.end(), dataCentre) == known.end()) {
        this->reportIgnored(record, "the settings do not list this data centre");
        return;
    }
    if (record.value.empty()) {
        const auto found = this->requests.all().find(dataCentre);
        const EvacuationRequest former =
                found == this->requests.all().end() ? EvacuationRequest() : found->second;
        if (this->requests.withdraw(dataCentre, record.offset) == EvacuationChange::Ended) {
            this->reportEnded(dataCentre, former);
        }
        return;
    }
    if (this->requests.request(dataCentre, record.offset, this->clock.now())
        == EvacuationChange::Began) {
        this->decisions.write(DecisionLine(Event::EvacuationBegan)
                                      .with("data_centre", dataCentre.name())
                                      .with("offset", record.offset));
    }
}

void ConfigFollower::snapshotReadCompleted(LogStream /*stream*/)
{
    for (const auto &[dataCentre, request] : this->requests.completeReread()) {
        this->reportEnded(dataCentre, request);
    }
}

void ConfigFollower::reportEnded(const DataCentreId &dataCentre, const EvacuationRequest &request)
{
    const Duration age = this->clock.now() - request.readAt;
    this->decisions.write(DecisionLine(Event::EvacuationEnded)
                                  .with("data_centre", dataCentre.name())
                                  .with("offset", request.offset)
                                  .with("age_ms", duration_cast<milliseconds>(age).count()));
}

void ConfigFollower::reportIgnored(const KeyedRecord &record, std::string_view reason)
{
    if (record.value.empty() || !this->ignoredRequests.insert(record.offset).second) {
        return;
    }
    this->decisions.write(DecisionLine(Event::EvacuationIgnored)
                                  .with("key", record.key)
                                  .with("offset", record.offset)
                                  .with("reason", reason));
}

void ConfigFollower::readServingConfig(const KeyedRecord &record)
{
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
