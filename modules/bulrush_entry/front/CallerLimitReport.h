#pragma once

#include "bulrush_core/events/DecisionLog.h"
#include "bulrush_entry/front/CallerLimits.h"
#include "bulrush_entry/node/EntryMetrics.h"
#include "bulrush_net/http/HttpServer.h"

namespace bulrush {

/** Applies the configuration's limits to the server for callers, and reports each second in the log
    and the metrics what the limits refused or closed. */
class CallerLimitReport
{
public:
    CallerLimitReport(HttpServer &server, EntryMetrics &metrics, DecisionLog &decisions);

    /** Sets the limits of a configuration. */
    void configure(const ServingConfig &config);

    void tick(Instant now);

private:
    void reportBodies(const HttpServer::Refusals &now, const HttpServer::Refusals &before);
    void reportUploads(const HttpServer::Refusals &now, const HttpServer::Refusals &before);
    void reportConnections(const HttpServer::Refusals &now, const HttpServer::Refusals &before);

    /** Adds to a counter. @returns how many more there are than before */
    std::int64_t recordDelta(const char *reason, std::uint64_t now, std::uint64_t before);

    HttpServer &server;
    EntryMetrics &metrics;
    DecisionLog &decisions;
    HttpServer::Refusals reported;
    Instant nextReport {};
};

} // namespace bulrush
