#pragma once

#include "bulrush_net/bulrush_net.h"

#include <span>
#include <vector>

namespace bulrush {

/** Carries calls to nodes. The interface at which tests put their own nodes. */
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

    /** Returns after a span of time. */
    virtual void pause(Duration span) = 0;
};

} // namespace bulrush
