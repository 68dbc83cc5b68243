#pragma once

#include "bulrush_keys/bulrush_keys.h"
#include "bulrush_node/messages/FrontMessages.h"
#include "bulrush_node/metrics/NodeMetrics.h"
#include "bulrush_platform/bulrush_platform.h"

#include <functional>
#include <map>
#include <string>

namespace bulrush {

/** The identity of the process, the limits on keys, and the polling of the log. */
struct KeyClaimSettings
{
    /** Unique for each start of each node; prefix of the names of arrivals. */
    std::string process;
    KeyValidity times;
    Duration poll = milliseconds(500);
};

/**
    Connects KeyAdmission to the log: appends its batches of claims, reads the keys stream, and
    reports to the front task which arrivals may send.
*/
class KeyClaimHandler : private LogReader::Listener
{
public:
    /** @param reply called with the result of each claim */
    KeyClaimHandler(EventLoop &loop, const Clock &clock, Log &log, const KeyClaimSettings &settings,
                    NodeMetrics &metrics, std::function<void(KeyClaimResult)> reply);

    KeyClaimHandler(const KeyClaimHandler &) = delete;
    KeyClaimHandler &operator=(const KeyClaimHandler &) = delete;

    /** Starts reading the keys stream. */
    void start();

    /** Requests the right to send for an arrival. */
    void claim(const KeyClaim &claim);

    /** Records the outcome of an arrival. */
    void end(const KeyedRequestEnd &end);

private:
    LogOffset readOffset() const override { return this->admission.table().nextOffset(); }
    void pageRead(const LogPage &page, Instant sentAt) override;
    void availabilityChanged(bool available) override;

    std::string arrivalName(ArrivalId arrival) const;
    void progress();
    void appendNext();
    void deliver(const KeyAnswer &answer);

    EventLoop &loop;
    const Clock &clock;
    Log &log;
    const KeyClaimSettings settings;
    NodeMetrics &metrics;
    const std::function<void(KeyClaimResult)> reply;
    KeyAdmission admission;
    std::map<std::string, ArrivalId> arrivals;
    Instant appendedAt {};
    bool appendScheduled = false;
    LogReader reader;
};

} // namespace bulrush
