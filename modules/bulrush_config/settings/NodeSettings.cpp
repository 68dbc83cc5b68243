#include "bulrush_config/settings/NodeSettings.h"

#include "bulrush_config/schemas/SchemaValidation.h"
#include "bulrush_config/schemas/StrictJson.h"
#include "bulrush_core/errors/Error.h"

#include <arpa/inet.h>
#include <array>
#include <nlohmann/json.hpp>

namespace bulrush {

namespace {

using nlohmann::json;

bool isIpAddress(const std::string &text)
{
    std::array<unsigned char, sizeof(in6_addr)> number {};
    return inet_pton(AF_INET, text.c_str(), number.data()) == 1
            || inet_pton(AF_INET6, text.c_str(), number.data()) == 1;
}

Endpoint readEndpoint(const json &value, const std::string &pointer)
{
    Endpoint endpoint { value.at("address"), value.at("port") };
    if (!isIpAddress(endpoint.address)) {
        throw FieldError(
                { pointer + "/address", truncatedJson(value.at("address")), "an IP number" });
    }
    return endpoint;
}

template<class Value>
void readInto(Value &target, const json &object, const char *field)
{
    const auto found = object.find(field);
    if (found != object.end()) {
        target = found->get<Value>();
    }
}

template<class Rep, class Period>
void readInto(std::chrono::duration<Rep, Period> &target, const json &object, const char *field)
{
    const auto found = object.find(field);
    if (found != object.end()) {
        target = std::chrono::duration<Rep, Period>(found->get<Rep>());
    }
}

LimitSettings readLimits(const json &object)
{
    LimitSettings limits;
    readInto(limits.maxRequestBytes, object, "maxRequestBytes");
    readInto(limits.maxAnswerBytes, object, "maxAnswerBytes");
    readInto(limits.maxConnections, object, "maxConnections");
    readInto(limits.maxWaitingRequests, object, "maxWaitingRequests");
    return limits;
}

/** Throws FieldError unless one duration is greater than another. */
void requireGreater(milliseconds greater, const char *field, milliseconds lesser, const char *than)
{
    if (greater <= lesser) {
        throw FieldError({ std::string("/times/") + field, std::to_string(greater.count()),
                           "more than " + std::to_string(lesser.count()) + " (" + than + ")" });
    }
}

TimeSettings readTimes(const json &object)
{
    TimeSettings times;
    readInto(times.heartbeat, object, "heartbeatMs");
    readInto(times.peerLost, object, "peerLostMs");
    readInto(times.lease, object, "leaseMs");
    readInto(times.renewalHorizon, object, "renewalHorizonMs");
    readInto(times.clockAllowance, object, "clockAllowanceMs");
    readInto(times.keyLifetime, object, "keyLifetimeS");
    readInto(times.logPoll, object, "logPollMs");
    requireGreater(times.peerLost, "peerLostMs", 2 * times.heartbeat, "twice heartbeatMs");
    requireGreater(times.lease, "leaseMs", times.clockAllowance, "clockAllowanceMs");
    requireGreater(times.renewalHorizon, "renewalHorizonMs", times.lease, "leaseMs");
    requireGreater(times.keyLifetime, "keyLifetimeS", 2 * times.clockAllowance,
                   "twice clockAllowanceMs");
    return times;
}

void readEndpoints(NodeSettings &settings, const json &document)
{
    settings.callers = readEndpoint(document.at("callers"), "/callers");
    settings.operators = readEndpoint(document.at("operators"), "/operators");
    settings.peersListen = readEndpoint(document.at("peersListen"), "/peersListen");
    const json peers = document.value("peers", json::array());
    for (std::size_t i = 0; i < peers.size(); ++i) {
        settings.peers.push_back({ NodeId(peers[i].at("node").get<std::string>()),
                                   DataCentreId(peers[i].at("dataCentre").get<std::string>()),
                                   readEndpoint(peers[i], "/peers/" + std::to_string(i)) });
    }
    const json &platform = document.at("platform");
    for (std::size_t i = 0; i < platform.size(); ++i) {
        settings.platform.push_back(readEndpoint(platform[i], "/platform/" + std::to_string(i)));
    }
}

NodeSettings readDocument(const json &document)
{
    NodeSettings settings;
    settings.node = NodeId(document.at("node").get<std::string>());
    settings.dataCentre = DataCentreId(document.at("dataCentre").get<std::string>());
    readInto(settings.region, document, "region");
    readEndpoints(settings, document);
    readInto(settings.operatorsKey, document.at("operators"), "key");
    readInto(settings.peerKey, document, "peerKey");
    readInto(settings.drainBound, document, "drainBoundMs");
    settings.limits = readLimits(document.value("limits", json::object()));
    settings.times = readTimes(document.value("times", json::object()));
    return settings;
}

/** Reports an unknown version before any other problem, as its other fields may differ. */
void checkVersion(const json &document)
{
    const auto schema = document.is_object() ? document.find("schema") : document.end();
    if (document.is_object() && schema != document.end() && *schema != "settings/1") {
        throw FieldError(
                { "/schema", truncatedJson(*schema), "one of " + knownVersions("settings") });
    }
}

} // namespace

NodeSettings readSettings(std::string_view text)
{
    try {
        const json document = parseStrictJson(text, {});
        checkVersion(document);
        if (const auto problem = checkSchema(document, "settings/1", "")) {
            throw FieldError(*problem);
        }
        return readDocument(document);
    } catch (const FieldError &error) {
        throw Error("read settings", "", error.problem().text());
    }
}

} // namespace bulrush
