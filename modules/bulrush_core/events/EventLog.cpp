#include "bulrush_core/events/EventLog.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace bulrush {

namespace {

spdlog::level::level_enum levelOf(Severity severity)
{
    switch (severity) {
    case Severity::Debug:
        return spdlog::level::debug;
    case Severity::Info:
        return spdlog::level::info;
    case Severity::Warning:
        return spdlog::level::warn;
    case Severity::Error:
        break;
    }
    return spdlog::level::err;
}

} // namespace

EventLog::EventLog(std::string_view nodeName)
    : logger(std::make_shared<spdlog::logger>(std::string(nodeName),
                                              std::make_shared<spdlog::sinks::stderr_sink_mt>()))
{
    this->logger->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l %n %v", spdlog::pattern_time_type::utc);
    this->logger->flush_on(spdlog::level::info);
}

EventLog::~EventLog() = default;

void EventLog::write(Event event, std::string_view peer, std::string_view detail)
{
    const EventInfo &info = eventInfo(event);
    const auto number = static_cast<unsigned>(event);
    this->logger->log(levelOf(info.severity), "E{} {} peer={} {}", number, info.name,
                      peer.empty() ? "-" : peer, detail);
}

void EventLog::setThreshold(Severity severity)
{
    this->logger->set_level(levelOf(severity));
}

} // namespace bulrush
