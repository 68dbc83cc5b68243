#pragma once

#include <cstdint>

namespace bulrush::review {

// As in the settings file of DEPLOY.md.
inline constexpr std::int64_t heartbeatMs = 1100;
inline constexpr std::int64_t holdMaxMs = 6000;
inline constexpr std::int64_t stopTimeoutMs = 400;
inline constexpr std::int64_t cancelMs = 3000;
inline constexpr std::int64_t visibleMs = 3000;

/** How long after its start an executor writes its first entry. */
inline constexpr std::int64_t firstCheckInMs = 100;

inline constexpr const char *serviceName = "grant-intake";
inline constexpr const char *hostName = "intake.example";
inline constexpr const char *queuePath = "/intake/";

} // namespace bulrush::review
