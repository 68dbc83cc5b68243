#pragma once

#include "bulrush_cli/client/OperatorsClient.h"
#include "bulrush_cli/commandline/CommandError.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush {

/** What one node answered. */
struct NodeAnswer
{
    Endpoint node;

    /** The HTTP status; none when no answer came. */
    std::optional<int> status;

    /** The answer's JSON; null when it held none. */
    nlohmann::json body;

    /** Why there is no answer. */
    std::string failure;

    /** Whether the request may have reached the node although no answer came. */
    bool mayHaveArrived = false;

    /** Returns whether the node did what was asked. */
    bool succeeded() const { return this->status && *this->status >= 200 && *this->status < 300; }

    /** Returns the node's own words on a refusal. */
    std::string error() const;
};

/** The nodes that an operator named; those that did not answer go behind the others. */
class NodeGroup
{
public:
    /** @param key sent to each node; empty for none */
    NodeGroup(OperatorsClient &client, std::vector<Endpoint> nodes, std::string key);

    /** Asks one node after the other until one answers.
        @throws CommandError when none answers or the key is refused */
    NodeAnswer askAny(std::string_view path);

    /** Asks all nodes at once; waits only shortly, as one that is silent must not hold up the
        others. @throws CommandError when a node refuses the key */
    std::vector<NodeAnswer> askAll(std::string_view path) const;

    /** Sends a text to one node. @throws CommandError when the key is refused */
    NodeAnswer post(const Endpoint &node, std::string_view path, std::string_view text) const;

    const std::vector<Endpoint> &endpoints() const { return this->nodes; }

    /** Throws the error that no node answered. */
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
