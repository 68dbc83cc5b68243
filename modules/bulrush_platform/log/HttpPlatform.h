#pragma once

#include "bulrush_net/bulrush_net.h"
#include "bulrush_platform/log/Log.h"
#include "bulrush_platform/vms/VmList.h"

#include <cstddef>
#include <vector>

namespace bulrush {

/** Accesses the platform over HTTP and JSON. Switches to the next endpoint after a failed call. */
class HttpPlatform : public Log, public VmList
{
public:
    /** @param endpoints the platform's front ends, at least one */
    HttpPlatform(EventLoop &loop, std::vector<Endpoint> endpoints);

    void append(std::string_view stream, std::string body, AppendCallback callback) override;
    void read(std::string_view stream, LogOffset from, Duration wait,
              ReadCallback callback) override;
    void readVms(Callback callback) override;

private:
    void call(HttpRequest request, Duration timeout, HttpCaller::Callback callback);

    HttpCaller caller;
    const std::vector<Endpoint> endpoints;
    std::size_t currentEndpoint = 0;
};

} // namespace bulrush
