#pragma once

#include "bulrush_net/bulrush_net.h"
#include "bulrush_node/groups/GroupRunner.h"
#include "bulrush_platform/vms/VmList.h"

#include <map>
#include <vector>

namespace bulrush {

/** Speaks HTTP and JSON to workers, at the addresses of the platform's list. */
class HttpWorkers : public WorkerPort
{
public:
    /** @param timeout a later answer counts as none */
    HttpWorkers(EventLoop &loop, Duration timeout);

    /** Takes the platform's list; a VM that it no longer names keeps its last address. */
    void updateVms(const std::vector<VmEntry> &vms);

    void exchange(const VmId &worker, const ExchangeRequest &request, Callback callback) override;

private:
    EventLoop &loop;
    HttpCaller caller;
    const Duration timeout;
    std::map<VmId, Endpoint> endpoints;
};

} // namespace bulrush
