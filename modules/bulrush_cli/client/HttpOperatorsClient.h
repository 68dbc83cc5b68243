#pragma once

#include "bulrush_cli/client/OperatorsClient.h"

namespace bulrush {

/** Calls nodes over HTTP. Each call creates its own event loop, as calls are infrequent. */
class HttpOperatorsClient : public OperatorsClient
{
public:
    std::vector<CallResult> callAll(std::span<const Endpoint> nodes, const HttpRequest &request,
                                    Duration timeout) override;
    void pause(Duration span) override;
};

} // namespace bulrush
