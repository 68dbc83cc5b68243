#pragma once

#include "bulrush_ownership/claims/GroupClaims.h"
#include "bulrush_tasks/leases/Durations.h"
#include "bulrush_tasks/leases/WorkerClock.h"
#include "bulrush_tasks/owner/Actions.h"

#include <map>
#include <span>
#include <vector>

namespace bulrush {

/** A node's view of the `work` stream. */
struct WorkView
{
    const GroupClaims *claims = nullptr;
    bool usable = false; ///< StreamFollower::isUsable
    Instant readAt {}; ///< when the read that last reached the end of the log was sent
    std::uint64_t nextOffset = 0; ///< StreamFollower::nextOffset
};

/** Returns whether a node with this view may start or renew leases on a worker. */
bool mayGrantLease(const WorkView &view, const VmId &worker, const Durations &durations,
                   Instant now, const Guards &guards = {});

/** A worker of the node's data centre and the group that it belongs to. */
struct RenewalTarget
{
    VmId worker;
    GroupId group;
};

/**
    Renews the leases of running attempts on workers whose owner is silent.

    Any node of the data centre may run it, as it only renews the attempts that a worker reports as
    running and sends no command to start, stop or forget one. It renews nothing on a worker once
    its view of the log is older than the renewal horizon or shows the worker as revoked.
*/
class Renewer
{
public:
    Renewer(const NodeId &node, const Durations &durations);

    /** Returns the exchanges that are due. @param targets workers whose owner is silent */
    std::vector<ExchangeAction> tick(Instant now, const WorkView &view,
                                     std::span<const RenewalTarget> targets);

    /** Processes a worker's answer; ignores one that arrives after the exchange timeout. */
    void exchangeAnswered(const ExchangeAnswer &answer, Instant now);

private:
    friend struct GuardsAccess;

    struct Worker
    {
        WorkerClock clock;
        Instant sentAt {};
        bool sent = false;
        std::vector<AttemptId> running;
    };

    ExchangeAction createRequest(const RenewalTarget &target, const Worker &worker,
                                 Instant now) const;

    NodeId node;
    Durations durations;
    std::map<VmId, Worker> workers;
    Guards guards;
};

} // namespace bulrush
