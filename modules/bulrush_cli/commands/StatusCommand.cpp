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
    const std::int64_t all = node.value("uptimeSeconds", std::int64_t(0));
    if (all >= day) {
        return std::to_string(all / day) + "d " + std::to_string(all % day / hour) + "h";
    }
    if (all >= hour) {
        return std::to_string(all / hour) + "h " + std::to_string(all % hour / minute) + "m";
    }
    return all >= minute ? std::to_string(all / minute) + "m " + std::to_string(all % minute) + "s"
                         : std::to_string(all) + "s";
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
                    shownCell(node.value("recordsOffset", json())),
                    node.value("logAvailable", false) ? "answers" : "silent", peersText(node) });
    }
    return table.text();
}

/** Lists each lost link and each thing that is degraded, with the node that says so. */
std::string degradedText(const std::vector<NodeAnswer> &answers)
{
    Table table({ "NODE", "DEGRADED" });
    for (const NodeAnswer &answer : answers) {
        if (!answer.succeeded()) {
            continue;
        }
        const std::string node = answer.body.value("node", "?");
        for (const json &what : answer.body.value("degraded", json::array())) {
            table.add({ node, what.is_object() ? what.dump() : shownCell(what) });
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
        const std::string deadline = shownCell(service.value("deadlineMs", json())) + " ms";
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

/** Returns the worker groups that the nodes own, where their answers tell. */
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
    return groups.empty() ? std::string() : "\n" + tableOf(groups);
}

json allAnswers(const std::vector<NodeAnswer> &answers)
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
    const std::vector<NodeAnswer> answers = context.nodes.askAll("/status");
    const auto first = std::find_if(answers.begin(), answers.end(),
                                    [](const NodeAnswer &answer) { return answer.succeeded(); });
    if (first == answers.end()) {
        NodeGroup::throwNoneAnswered(answers);
    }
    if (context.line.asJson) {
        printJson(context, allAnswers(answers));
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
                                   + " nodes, expected exactly the one that is to stop");
    }
    const NodeAnswer answer = context.nodes.post(nodes.front(), "/drain", "");
    if (!answer.status && answer.mayHaveArrived) {
        throw CommandError(ExitStatus::OutcomeUnknown, "drain", nodes.front().text(),
                           "sent, but no answer came: " + answer.failure);
    }
    if (!answer.status) {
        NodeGroup::throwNoneAnswered({ answer });
    }
    requireSuccess(answer);
    if (context.line.asJson) {
        printJson(context, answer.body);
    } else {
        context.cli.out << nodes.front().text()
                        << ": draining; it ends once its requests are answered\n";
    }
    return ExitStatus::Done;
}

} // namespace bulrush
