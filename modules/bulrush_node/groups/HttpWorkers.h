#pragma once

#include "bulrush_net/bulrush_net.h"
#include "bulrush_node/groups/GroupRunner.h"
#include "bulrush_platform/vms/VmList.h"

#include <map>
#include <vector>

namespace bulrush {

/** Exchanges JSON over HTTP with workers, at the addresses in the platform's list of VMs. */
class HttpWorkers : public WorkerPort
{
public:
    /** @param timeout time without a complete answer after which an exchange counts as failed */
    HttpWorkers(EventLoop &loop, Duration timeout);

    /** Applies the platform's list. A VM that is no longer listed keeps its last address. */
    void updateVms(const std::vector<VmEntry> &vms);

    void exchange(const VmId &worker, const ExchangeRequest &request, Callback callback) override;

private:
    EventLoop &loop;
    HttpCaller caller;
    const Duration timeout;
    std::map<VmId, Endpoint> endpoints;
};

} // namespace bulrush
