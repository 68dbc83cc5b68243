#include "bulrush_cli/commands/Command.h"
#include "bulrush_cli/output/Table.h"

#include <algorithm>

namespace bulrush {

namespace {

using nlohmann::json;

std::string uptimeText(const json &node)
{
    constexpr std::int64_t minute = 60;
    constexpr std::int64_t hour = 60 * minute;
    constexpr std::int64_t day = 24 * hour;
    const std::int64_t totalSeconds = node.value("uptimeSeconds", std::int64_t(0));
    if (totalSeconds >= day) {
        return std::to_string(totalSeconds / day) + "d " + std::to_string(totalSeconds % day / hour)
                + "h";
    }
    if (totalSeconds >= hour) {
        return std::to_string(totalSeconds / hour) + "h "
                + std::to_string(totalSeconds % hour / minute) + "m";
    }
    return totalSeconds >= minute ? std::to_string(totalSeconds / minute) + "m "
                    + std::to_string(totalSeconds % minute) + "s"
                                  : std::to_string(totalSeconds) + "s";
}

std::string peersText(const json &node)
{
    const json peers = node.value("peers", json::array());
    const auto connected = std::count_if(peers.begin(), peers.end(), [](const json &peer) {
        return peer.value("connected", false);
    });
    return std::to_string(connected) + " of " + std::to_string(peers.size());
}

std::string stateText(const json &node)
{
    if (node.value("draining", false)) {
        return "draining";
    }
    return node.value("degraded", json::array()).empty() ? "serving" : "degraded";
}

std::string nodesTable(const std::vector<NodeAnswer> &answers)
{
    Table table({ "NODE", "ADDRESS", "DATA CENTRE", "STATE", "UPTIME", "OFFSET", "LOG", "PEERS" });
    for (const NodeAnswer &answer : answers) {
        if (!answer.succeeded()) {
            table.add({ "?", answer.node.text(), "?", answer.error() });
            continue;
        }
        const json &node = answer.body;
        table.add({ node.value("node", "?"), answer.node.text(), node.value("dataCentre", "?"),
                    stateText(node), uptimeText(node),
                    cellText(node.value("recordsOffset", json())),
                    node.value("logAvailable", false) ? "answers" : "silent", peersText(node) });
    }
    return table.text();
}

/** Lists each degraded condition and each lost link, with the node that reports it. */
std::string degradedText(const std::vector<NodeAnswer> &answers)
{
    Table table({ "NODE", "DEGRADED" });
    for (const NodeAnswer &answer : answers) {
        if (!answer.succeeded()) {
            continue;
        }
        const std::string node = answer.body.value("node", "?");
        for (const json &condition : answer.body.value("degraded", json::array())) {
            table.add({ node, condition.is_object() ? condition.dump() : cellText(condition) });
        }
        for (const json &peer : answer.body.value("peers", json::array())) {
            if (!peer.value("connected", false)) {
                table.add({ node, "no link to node " + peer.value("node", "?") });
            }
        }
    }
    return table.isEmpty() ? std::string() : "\n" + table.text();
}

std::string servicesTable(const json &node)
{
    Table table({ "SERVICE", "DEADLINE", "TARGET", "DATA CENTRE", "ADDRESS", "STATE" });
    for (const json &service : node.value("services", json::array())) {
        const std::string name = service.value("service", "?");
        const std::string deadline = cellText(service.value("deadlineMs", json())) + " ms";
        const json targets = service.value("targets", json::array());
        if (targets.empty()) {
            table.add({ name, deadline, "none" });
        }
        for (const json &target : targets) {
            table.add({ name, deadline, target.value("target", "?"),
                        target.value("dataCentre", "?"), target.value("address", "?"),
                        target.value("leaving", false) ? "leaving" : "in use" });
        }
    }
    return table.isEmpty() ? std::string() : "\n" + table.text();
}

/** Returns a table of the worker groups that the nodes report, or an empty string. */
std::string groupsTable(const std::vector<NodeAnswer> &answers)
{
    json groups = json::array();
    for (const NodeAnswer &answer : answers) {
        if (!answer.succeeded()) {
            continue;
        }
        for (json group : answer.body.value("groups", json::array())) {
            group["toldBy"] = answer.body.value("node", "?");
            groups.push_back(std::move(group));
        }
    }
    return groups.empty() ? std::string() : "\n" + objectsTable(groups);
}

json answersJson(const std::vector<NodeAnswer> &answers)
{
    json nodes = json::array();
    for (const NodeAnswer &answer : answers) {
        nodes.push_back({ { "address", answer.node.text() },
                          { "answered", answer.succeeded() },
                          { "status", answer.succeeded() ? answer.body : json() },
                          { "error", answer.succeeded() ? "" : answer.error() } });
    }
    return { { "nodes", nodes } };
}

} // namespace

ExitStatus runStatus(const CommandContext &context)
{
    const std::vector<NodeAnswer> answers = context.nodes.queryAll("/status");
    const auto first = std::find_if(answers.begin(), answers.end(),
                                    [](const NodeAnswer &answer) { return answer.succeeded(); });
    if (first == answers.end()) {
        NodeGroup::throwNoneAnswered(answers);
    }
    if (context.line.asJson) {
        printJson(context, answersJson(answers));
    } else {
        context.cli.out << nodesTable(answers) << degradedText(answers)
                        << servicesTable(first->body) << groupsTable(answers);
    }
    return ExitStatus::Done;
}

ExitStatus runDrain(const CommandContext &context)
{
    const auto &nodes = context.nodes.endpoints();
    if (nodes.size() != 1) {
        throw CommandError(ExitStatus::WrongCommandLine, "drain", "",
                           "--node: found " + std::to_string(nodes.size())
                                   + " nodes, expected exactly the one to drain");
    }
    const NodeAnswer answer = context.nodes.post(nodes.front(), "/drain", "");
    if (!answer.status && answer.mayHaveArrived) {
        throw CommandError(ExitStatus::OutcomeUnknown, "drain", nodes.front().text(),
                           "request sent, but no answer received: " + answer.failure);
    }
    if (!answer.status) {
        NodeGroup::throwNoneAnswered({ answer });
    }
    requireSuccess(answer);
    if (context.line.asJson) {
        printJson(context, answer.body);
    } else {
        context.cli.out << nodes.front().text()
                        << ": draining; the node stops when its requests are answered\n";
    }
    return ExitStatus::Done;
}

} // namespace bulrush
