#include "bulrush_node/operators/OperatorAnswers.h"

#include <nlohmann/json.hpp>

namespace bulrush {

namespace {

using nlohmann::json;

json verdictJson(const Verdict &verdict)
{
    return { { "offset", verdict.offset },
             { "outcome", outcomeName(verdict.outcome) },
             { "kind", verdict.kind },
             { "name", verdict.name },
             { "id", verdict.id },
             { "supersedes", verdict.supersedes },
             { "publisher", verdict.publisher },
             { "reason", verdict.reason },
             { "winner", verdict.winner },
             { "winnerPublisher", verdict.winnerPublisher } };
}

json peersJson(const StatusView &view)
{
    json peers = json::array();
    for (const auto &[node, peer] : *view.peers) {
        const auto age = duration_cast<milliseconds>(view.now - peer.lastReceivedAt).count();
        peers.push_back({ { "node", node.name() },
                          { "dataCentre", peer.dataCentre.name() },
                          { "connected", peer.connected },
                          { "draining", peer.draining },
                          { "heardMsAgo", peer.lastReceivedAt == Instant() ? json() : json(age) },
                          { "recordsOffset", peer.recordsNext } });
    }
    return peers;
}

json servicesJson(const FrontConfiguration &front)
{
    json services = json::array();
    for (const auto &[name, service] : front.services) {
        json targets = json::array();
        for (const FrontTarget &target : service.targets) {
            const bool leaving = front.leavingByRecord.contains(target.target)
                    || front.leavingByPlatform.contains(target.target);
            targets.push_back({ { "target", target.target.name() },
                                { "dataCentre", target.dataCentre.name() },
                                { "address", target.endpoint.text() },
                                { "leaving", leaving } });
        }
        services.push_back(
                { { "service", name.name() },
                  { "deadlineMs", duration_cast<milliseconds>(service.deadline).count() },
                  { "targets", targets } });
    }
    return services;
}

json degradedJson(const StatusView &view, const std::optional<FrontConfiguration> &front)
{
    json degraded = json::array();
    if (!view.recordsUsable) {
        degraded.push_back("no records are in force yet");
    }
    if (!view.logAvailable) {
        degraded.push_back("the platform's log does not answer");
    }
    if (front) {
        for (const DataCentreId &dataCentre : front->unreachable) {
            degraded.push_back("no node of data centre " + dataCentre.name() + " is heard");
        }
    }
    return degraded;
}

} // namespace

std::string statusJson(const StatusView &view, const std::optional<FrontConfiguration> &front)
{
    const json status = { { "node", view.node.name() },
                          { "dataCentre", view.dataCentre.name() },
                          { "draining", view.draining },
                          { "uptimeSeconds", duration_cast<seconds>(view.uptime).count() },
                          { "recordsOffset", view.recordsNext },
                          { "logAvailable", view.logAvailable },
                          { "degraded", degradedJson(view, front) },
                          { "peers", peersJson(view) },
                          { "vms", view.vms->size() },
                          { "groups", json::parse(view.groups) },
                          { "services", front ? servicesJson(*front) : json::array() } };
    return status.dump(2);
}

HttpResponse recordsAnswer(const RecordState &state, const std::vector<std::string> &rest)
{
    json records = json::array();
    for (const RecordKind kind :
         { RecordKind::Service, RecordKind::Job, RecordKind::Watcher, RecordKind::Quota,
           RecordKind::Targets, RecordKind::Policy, RecordKind::Cancellation }) {
        if (!rest.empty() && rest.front() != kindName(kind)) {
            continue;
        }
        for (const Record *record : state.inForce(kind)) {
            if (rest.size() < 2 || rest[1] == record->name) {
                records.push_back(json::parse(record->text()));
            }
        }
    }
    if (rest.size() >= 2 && records.empty()) {
        return OperatorsApi::error(404, "no record " + rest[0] + "/" + rest[1] + " is in force");
    }
    return OperatorsApi::json(
            200, json({ { "offset", state.nextOffset() }, { "records", records } }).dump(2));
}

HttpResponse historyAnswer(const RecordState &state, const std::vector<std::string> &rest)
{
    if (rest.size() < 2) {
        return OperatorsApi::error(400, "expected /history/KIND/NAME");
    }
    json history = json::array();
    for (const Verdict &verdict : state.history(rest[0], rest[1])) {
        history.push_back(verdictJson(verdict));
    }
    return OperatorsApi::json(200, json({ { "history", history } }).dump(2));
}

HttpResponse verdictAnswer(const Verdict *verdict)
{
    if (verdict == nullptr) {
        return OperatorsApi::error(404, "no verdict is known here yet");
    }
    return OperatorsApi::json(200, verdictJson(*verdict).dump(2));
}

HttpResponse auditAnswer(const std::deque<Verdict> &verdicts)
{
    json audit = json::array();
    for (const Verdict &verdict : verdicts) {
        audit.push_back(verdictJson(verdict));
    }
    return OperatorsApi::json(200, json({ { "audit", audit } }).dump(2));
}

HttpResponse publishAnswer(std::string_view id, std::optional<LogOffset> offset)
{
    const json answer = { { "id", id }, { "offset", offset ? json(*offset) : json() } };
    return OperatorsApi::json(offset ? 202 : 504, answer.dump());
}

} // namespace bulrush
