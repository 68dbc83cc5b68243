#pragma once

#include "bulrush_cli/client/OperatorsClient.h"
#include "bulrush_cli/commandline/CommandError.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush {

/** The answer of one node, or the reason why there is none. */
struct NodeAnswer
{
    Endpoint node;

    /** The HTTP status; empty if no answer was received. */
    std::optional<int> status;

    /** The answer's JSON; null if the body is not valid JSON. */
    nlohmann::json body;

    /** The reason why no answer was received. */
    std::string failure;

    /** Whether the request may have reached the node although no answer was received. */
    bool mayHaveArrived = false;

    /** Returns whether the node answered with a 2xx status. */
    bool succeeded() const { return this->status && *this->status >= 200 && *this->status < 300; }

    /** Returns the node's error message, or the reason why no answer was received. */
    std::string error() const;
};

/** The nodes that the operator named. A node that does not answer queryAny is moved to the end. */
class NodeGroup
{
public:
    /** @param key the key that is sent to each node; none is sent if empty */
    NodeGroup(OperatorsClient &client, std::vector<Endpoint> nodes, std::string key);

    /** Sends a GET request to one node after the other until one answers.
        @throws CommandError if none answers or a node refuses the key */
    NodeAnswer queryAny(std::string_view path);

    /** Sends a GET request to all nodes concurrently. The time-out is short, so that a node that
        does not answer does not delay the others' answers.
        @throws CommandError if a node refuses the key */
    std::vector<NodeAnswer> queryAll(std::string_view path) const;

    /** Sends a POST request to one node. @throws CommandError if the node refuses the key */
    NodeAnswer post(const Endpoint &node, std::string_view path, std::string_view text) const;

    const std::vector<Endpoint> &endpoints() const { return this->nodes; }

    /** Throws the error that no node answered, or that no nodes are given if answers is empty. */
    [[noreturn]] static void throwNoneAnswered(const std::vector<NodeAnswer> &answers);

private:
    std::vector<NodeAnswer> call(std::span<const Endpoint> endpoints, std::string_view method,
                                 std::string_view path, std::string_view text,
                                 Duration timeout) const;

    OperatorsClient &client;
    std::vector<Endpoint> nodes;
    const std::string key;
};

} // namespace bulrush
