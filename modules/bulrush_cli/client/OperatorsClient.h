#pragma once

#include "bulrush_net/bulrush_net.h"

#include <span>
#include <vector>

namespace bulrush {

/** The interface for calls to nodes. Tests implement it with fake nodes. */
class OperatorsClient
{
public:
    OperatorsClient() = default;
    virtual ~OperatorsClient() = default;
    OperatorsClient(const OperatorsClient &) = delete;
    OperatorsClient &operator=(const OperatorsClient &) = delete;

    /** Sends the same request to all nodes at once and returns their answers in the same order. */
    virtual std::vector<CallResult> callAll(std::span<const Endpoint> nodes,
                                            const HttpRequest &request, Duration timeout) = 0;

    /** Blocks for the given time. */
    virtual void pause(Duration span) = 0;
};

} // namespace bulrush
