#pragma once

#include "bulrush_entry/settings/EntrySettings.h"
#include "bulrush_net/http/HttpServer.h"
#include "bulrush_steps/model/ServingConfig.h"

#include <string>
#include <vector>

namespace bulrush {

/** Returns the limits of the server for callers, which follow from the machine's memory and
    descriptors. @param headerNames as in HttpServer::Limits */
HttpServer::Limits callerLimits(const EntrySettings &settings,
                                std::vector<std::string> headerNames);

/** Returns the largest body that a configuration allows. */
std::size_t maxBodyBytes(const ServingConfig &config);

/** Returns the time limits of callers' connections that a configuration sets. */
ConnectionTimes connectionTimes(const ServingConfig &config);

} // namespace bulrush
