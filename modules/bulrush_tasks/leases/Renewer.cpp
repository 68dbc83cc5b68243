#include "bulrush_tasks/leases/Renewer.h"

namespace bulrush {

bool mayGrantLease(const WorkView &view, const VmId &worker, const Durations &durations,
                   Instant now, const Guards &guards)
{
    if (view.claims == nullptr || !view.usable) {
        return false;
    }
    if (now - view.readAt >= durations.renewalHorizon && guards.renewalHorizon) {
        return false;
    }
    return !view.claims->isRevoked(worker) || !guards.respectRevocation;
}

Renewer::Renewer(const NodeId &nodeId, const Durations &leaseDurations)
    : node(nodeId)
    , durations(leaseDurations)
{
}

std::vector<ExchangeAction> Renewer::tick(Instant now, const WorkView &view,
                                          std::span<const RenewalTarget> targets)
{
    std::vector<ExchangeAction> actions;
    for (const RenewalTarget &target : targets) {
        Worker &worker = this->workers[target.worker];
        const bool due = !worker.sent || now - worker.sentAt >= this->durations.exchangePeriod;
        if (!due || !mayGrantLease(view, target.worker, this->durations, now, this->guards)) {
            continue;
        }
        worker.sent = true;
        worker.sentAt = now;
        actions.push_back(this->createRequest(target, worker, now));
    }
    return actions;
}

ExchangeAction Renewer::createRequest(const RenewalTarget &target, const Worker &worker,
                                      Instant now) const
{
    ExchangeAction action { target.worker, {} };
    ExchangeRequest &request = action.request;
    request.node = this->node;
    request.group = target.group;
    request.incarnation = worker.clock.incarnation();
    request.validUntilMs = worker.clock.validUntilMs(now, this->durations.transit);
    const std::int64_t leaseMs = duration_cast<milliseconds>(this->durations.lease).count();
    for (const AttemptId &attempt : worker.running) {
        request.renewals.push_back({ attempt, leaseMs });
    }
    return action;
}

void Renewer::exchangeAnswered(const ExchangeAnswer &answer, Instant now)
{
    const auto found = this->workers.find(answer.worker);
    if (found == this->workers.end()
        || now - found->second.sentAt > this->durations.exchangeTimeout) {
        return;
    }
    Worker &worker = found->second;
    worker.clock.answered(answer, now);
    worker.running.clear();
    for (const InventoryItem &item : answer.inventory) {
        if (item.state == AttemptState::Running) {
            worker.running.push_back(item.attempt);
        }
    }
}

} // namespace bulrush
