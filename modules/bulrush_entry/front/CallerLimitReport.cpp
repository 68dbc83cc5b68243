#include "bulrush_entry/front/CallerLimitReport.h"

#include <utility>

namespace bulrush {

namespace {

constexpr milliseconds reportInterval { 1000 };

} // namespace

CallerLimitReport::CallerLimitReport(HttpServer &callerServer, EntryMetrics &entryMetrics,
                                     DecisionLog &decisionLog)
    : server(callerServer)
    , metrics(entryMetrics)
    , decisions(decisionLog)
{
}

void CallerLimitReport::configure(const ServingConfig &config)
{
    const ConnectionTimes times = connectionTimes(config);
    this->server.setLimits(maxBodyBytes(config), times);
    const HttpServer::Limits &limits = this->server.currentLimits();
    this->decisions.write(
            DecisionLine(Event::CallerLimitsSet)
                    .with("max_body", static_cast<std::int64_t>(limits.maxRequestBytes))
                    .with("body_budget", static_cast<std::int64_t>(limits.bodyBudgetBytes))
                    .with("connections", static_cast<std::int64_t>(limits.maxConnections))
                    .with("header_ms", static_cast<std::int64_t>(times.header.count()))
                    .with("idle_ms", static_cast<std::int64_t>(times.idle.count())));
}

void CallerLimitReport::tick(Instant now)
{
    if (now < this->nextReport) {
        return;
    }
    this->nextReport = now + reportInterval;
    this->metrics.setCallerLoad(this->server.reservedBodyBytes(), this->server.openConnections());
    const HttpServer::Refusals before = std::exchange(this->reported, this->server.refusals());
    this->reportBodies(this->reported, before);
    this->reportUploads(this->reported, before);
    this->reportConnections(this->reported, before);
}

std::int64_t CallerLimitReport::recordDelta(const char *reason, std::uint64_t now,
                                            std::uint64_t before)
{
    if (now > before) {
        this->metrics.recordCallerLimit(reason, now - before);
    }
    return static_cast<std::int64_t>(now - before);
}

void CallerLimitReport::reportBodies(const HttpServer::Refusals &now,
                                     const HttpServer::Refusals &before)
{
    const auto tooLarge = this->recordDelta("too_large", now.tooLarge, before.tooLarge);
    const auto noMemory = this->recordDelta("no_memory", now.noMemory, before.noMemory);
    if (tooLarge + noMemory > 0) {
        this->decisions.write(
                DecisionLine(Event::CallerBodiesRefused)
                        .with("too_large", tooLarge)
                        .with("no_memory", noMemory)
                        .with("reserved",
                              static_cast<std::int64_t>(this->server.reservedBodyBytes())));
    }
}

void CallerLimitReport::reportUploads(const HttpServer::Refusals &now,
                                      const HttpServer::Refusals &before)
{
    const auto displaced =
            this->recordDelta("upload_displaced", now.displacedUploads, before.displacedUploads);
    const auto slow = this->recordDelta("upload_slow", now.slowUploads, before.slowUploads);
    if (displaced + slow > 0) {
        this->decisions.write(DecisionLine(Event::CallerUploadsClosed)
                                      .with("displaced", displaced)
                                      .with("slow", slow));
    }
}

void CallerLimitReport::reportConnections(const HttpServer::Refusals &now,
                                          const HttpServer::Refusals &before)
{
    const auto refused =
            this->recordDelta("connection_refused", now.connections, before.connections);
    const auto displaced = this->recordDelta("connection_displaced", now.displacedConnections,
                                             before.displacedConnections);
    const auto overdue = this->recordDelta("connection_overdue", now.overdueConnections,
                                           before.overdueConnections);
    if (refused + displaced + overdue > 0) {
        this->decisions.write(
                DecisionLine(Event::CallerConnectionsClosed)
                        .with("refused", refused)
                        .with("displaced", displaced)
                        .with("overdue", overdue)
                        .with("open", static_cast<std::int64_t>(this->server.openConnections())));
    }
}

} // namespace bulrush
