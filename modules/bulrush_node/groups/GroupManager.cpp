#include "bulrush_node/groups/GroupManager.h"

#include <xxhash.h>

namespace bulrush {

namespace {

constexpr Duration tickPeriod = milliseconds(50);
constexpr Duration finishedCheckPeriod = milliseconds(500);

GroupId groupOf(const VmEntry &vm)
{
    return GroupId(vm.dataCentre.name() + "." + vm.rack);
}

} // namespace

NodeId preferredNode(const std::set<NodeId> &nodes, std::string_view key)
{
    NodeId first;
    XXH64_hash_t greatest = 0;
    for (const NodeId &node : nodes) {
        const std::string pair = node.name() + "/" + std::string(key);
        const XXH64_hash_t hash = XXH64(pair.data(), pair.size(), 0);
        if (first.isEmpty() || hash > greatest) {
            first = node;
            greatest = hash;
        }
    }
    return first;
}

GroupManager::GroupManager(const GroupContext &groupContext,
                           const GroupManagerSettings &managerSettings,
                           JobEndFunction jobEndFunction)
    : context(groupContext)
    , settings(managerSettings)
    , reportJobEnd(std::move(jobEndFunction))
    , jobs(managerSettings.dataCentre)
    , liveNodes({ managerSettings.node })
    , renewer(managerSettings.node, managerSettings.durations)
    , reader(*groupContext.loop, *groupContext.clock, *groupContext.log, GroupOwner::workStream,
             managerSettings.poll, *this)
{
}

void GroupManager::start()
{
    this->reader.start();
    this->context.loop->scheduleEvery(tickPeriod, [this] { this->tick(); });
}

void GroupManager::updateRecords(const RecordState &records)
{
    this->jobs.update(records);
    for (const Record *record : records.inForce(RecordKind::Policy)) {
        const PolicyBody policy = readPolicyBody(*record);
        this->weights = { policy.tailLatency, policy.throughput, policy.evictions };
    }
    for (auto &[group, runner] : this->runners) {
        runner->setWeights(this->weights);
    }
}

void GroupManager::updateVms(const std::vector<VmEntry> &vms)
{
    this->workersByGroup.clear();
    for (const VmEntry &vm : vms) {
        if (vm.dataCentre == this->settings.dataCentre && vm.state != VmState::Gone) {
            this->workersByGroup[groupOf(vm)].push_back({ vm.vm, vm.state == VmState::Leaving });
        }
    }
    for (const auto &[group, workers] : this->workersByGroup) {
        if (!this->runners.contains(group)) {
            const OwnerIdentity identity { this->settings.node, this->settings.process, group };
            this->runners[group] = std::make_unique<GroupRunner>(
                    this->context, identity, this->settings.durations, this->settings.poll);
            this->runners[group]->setWeights(this->weights);
        }
    }
    for (auto &[group, runner] : this->runners) {
        runner->updateVms(this->workersByGroup[group]);
    }
}

void GroupManager::pageRead(const LogPage &page, Instant sentAt)
{
    this->work.setFirstRetainedOffset(page.firstRetained);
    for (const LogEntry &entry : page.entries) {
        this->work.read(entry.offset, entry.text);
    }
    if (this->work.nextOffset() >= page.end) {
        this->readAt = sentAt;
    }
}

WorkView GroupManager::view() const
{
    return { &this->work.state(), this->work.isUsable() && this->readAt != Instant(), this->readAt,
             this->work.nextOffset() };
}

//==============================================================================
void GroupManager::tick()
{
    const WorkView current = this->view();
    double owned = 0;
    for (auto &[group, runner] : this->runners) {
        runner->setWanted(this->isWanted(group));
        runner->tick(current, this->jobs.registry(), this->jobs.batchClasses());
        owned += runner->owner().phase() == GroupOwner::Phase::Owning ? 1 : 0;
    }
    this->context.metrics->set("bulrush_groups_owned", owned);
    this->renewForUnavailableOwners();
    this->reportFinishedJobs();
}

bool GroupManager::isWanted(const GroupId &group) const
{
    if (!this->liveNodes.contains(this->settings.node)) {
        return false;
    }
    const NodeId owner = this->work.state().ownershipOf(group).node;
    // A live owner keeps the group, so that the return of another node moves no groups.
    const NodeId wanted =
            this->liveNodes.contains(owner) ? owner : preferredNode(this->liveNodes, group.name());
    return wanted == this->settings.node;
}

void GroupManager::renewForUnavailableOwners()
{
    std::vector<RenewalTarget> targets;
    for (const auto &[group, workers] : this->workersByGroup) {
        const NodeId owner = this->work.state().ownershipOf(group).node;
        const bool ownerUnavailable = !owner.isEmpty() && !this->liveNodes.contains(owner);
        if (!ownerUnavailable
            || preferredNode(this->liveNodes, group.name()) != this->settings.node) {
            continue;
        }
        for (const VmStatus &worker : workers) {
            targets.push_back({ worker.worker, group });
        }
    }
    const Instant now = this->context.clock->now();
    for (const ExchangeAction &action : this->renewer.tick(now, this->view(), targets)) {
        this->context.workers->exchange(
                action.worker, action.request, [this](const std::optional<ExchangeAnswer> &answer) {
                    if (answer) {
                        this->renewer.exchangeAnswered(*answer, this->context.clock->now());
                    }
                });
    }
}

void GroupManager::reportFinishedJobs()
{
    const Instant now = this->context.clock->now();
    if (this->finishedCheckedAt + finishedCheckPeriod > now) {
        return;
    }
    this->finishedCheckedAt = now;
    for (const auto &[run, declaration] : this->jobs.declarations()) {
        const JobSpec *spec = this->jobs.registry().find(run);
        if (spec != nullptr && this->work.state().isComplete(run, spec->taskCount)) {
            this->reportJobEnd(declaration.name, run);
        }
    }
}

} // namespace bulrush
