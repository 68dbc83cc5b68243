#pragma once

#include "bulrush_cli/client/OperatorsClient.h"

namespace bulrush {

/** Calls nodes over HTTP. Each call has an event loop of its own, as calls are few. */
class HttpOperatorsClient : public OperatorsClient
{
public:
    std::vector<CallResult> callAll(std::span<const Endpoint> nodes, const HttpRequest &request,
                                    Duration timeout) override;
    void pause(Duration span) override;
};

} // namespace bulrush
