#include "bulrush_cli/client/HttpOperatorsClient.h"

#include <thread>

namespace bulrush {

std::vector<CallResult> HttpOperatorsClient::callAll(std::span<const Endpoint> nodes,
                                                     const HttpRequest &request, Duration timeout)
{
    std::vector<CallResult> results(nodes.size());
    std::size_t pending = nodes.size();
    if (pending == 0) {
        return results;
    }
    EventLoop loop;
    HttpCaller caller(loop, nodes.size());
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        caller.call(nodes[i], request, timeout, [&loop, &results, &pending, i](CallResult result) {
            results[i] = std::move(result);
            if (--pending == 0) {
                loop.stop();
            }
        });
    }
    loop.run();
    return results;
}

void HttpOperatorsClient::pause(Duration span)
{
    std::this_thread::sleep_for(span);
}

} // namespace bulrush
