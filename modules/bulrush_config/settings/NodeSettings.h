#pragma once

#include "bulrush_core/addresses/Endpoint.h"
#include "bulrush_core/ids/Id.h"
#include "bulrush_core/time/Clock.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush {

/** Another node that is contacted at startup. */
struct PeerSettings
{
    NodeId node;
    DataCentreId dataCentre;
    Endpoint endpoint;
};

/** Limits on the daemon's buffers, connections and queues. */
struct LimitSettings
{
    std::size_t maxRequestBytes = 1'048'576;
    std::size_t maxAnswerBytes = 16'777'216;
    std::size_t maxConnections = 1'024;
    std::size_t maxWaitingRequests = 1'024;
};

/** Intervals and time limits. */
struct TimeSettings
{
    milliseconds heartbeat { 500 };
    milliseconds peerLost { 2'000 };
    milliseconds lease { 60'000 };
    milliseconds renewalHorizon { 10'800'000 };
    milliseconds clockAllowance { 10'000 };
    seconds keyLifetime { 3'600 };
    milliseconds logPoll { 500 };
};

/** The validated settings file of the daemon. */
struct NodeSettings
{
    NodeId node;
    DataCentreId dataCentre;
    std::string region = "default";
    Endpoint callers;
    Endpoint operators;
    std::string operatorsKey;
    Endpoint peersListen;
    std::vector<PeerSettings> peers;
    std::vector<Endpoint> platform;
    std::string peerKey;
    milliseconds drainBound { 30'000 };
    LimitSettings limits;
    TimeSettings times;
};

/**
    Parses and validates the text of a settings file.

    @throws Error whose message names the field, the value found and the value expected
    @see docs/CONFIGURATION.md
*/
NodeSettings readSettings(std::string_view text);

} // namespace bulrush
