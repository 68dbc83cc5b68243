#include "bulrush_node/groups/WorkDesk.h"

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

NodeId firstInLine(const std::set<NodeId> &nodes, std::string_view what)
{
    NodeId first;
    XXH64_hash_t greatest = 0;
    for (const NodeId &node : nodes) {
        const std::string pair = node.name() + "/" + std::string(what);
        const XXH64_hash_t hash = XXH64(pair.data(), pair.size(), 0);
        if (first.isEmpty() || hash > greatest) {
            first = node;
            greatest = hash;
        }
    }
    return first;
}

WorkDesk::WorkDesk(const GroupDeskContext &deskContext, const WorkDeskSettings &deskSettings,
                   JobDoneFunction jobDoneFunction)
    : context(deskContext)
    , settings(deskSettings)
    , jobDone(std::move(jobDoneFunction))
    , jobs(deskSettings.dataCentre)
    , liveNodes({ deskSettings.node })
    , renewer(deskSettings.node, deskSettings.durations)
    , reader(*deskContext.loop, *deskContext.clock, *deskContext.log, GroupOwner::workStream,
             deskSettings.poll, *this)
{
}

void WorkDesk::start()
{
    this->reader.start();
    this->context.loop->scheduleEvery(tickPeriod, [this] { this->tick(); });
}

void WorkDesk::updateRecords(const RecordState &records)
{
    this->jobs.update(records);
    for (const Record *record : records.inForce(RecordKind::Policy)) {
        const PolicyBody policy = readPolicyBody(*record);
        this->weights = { policy.tailLatency, policy.throughput, policy.evictions };
    }
    for (auto &[group, desk] : this->desks) {
        desk->setWeights(this->weights);
    }
}

void WorkDesk::updateVms(const std::vector<VmEntry> &vms)
{
    this->workersByGroup.clear();
    for (const VmEntry &vm : vms) {
        if (vm.dataCentre == this->settings.dataCentre && vm.state != VmState::Gone) {
            this->workersByGroup[groupOf(vm)].push_back({ vm.vm, vm.state == VmState::Leaving });
        }
    }
    for (const auto &[group, workers] : this->workersByGroup) {
        if (!this->desks.contains(group)) {
            const OwnerIdentity identity { this->settings.node, this->settings.process, group };
            this->desks[group] = std::make_unique<GroupDesk>(
                    this->context, identity, this->settings.durations, this->settings.poll);
            this->desks[group]->setWeights(this->weights);
        }
    }
    for (auto &[group, desk] : this->desks) {
        desk->updateVms(this->workersByGroup[group]);
    }
}

void WorkDesk::pageRead(const LogPage &page, Instant sentAt)
{
    this->work.noteFirstOffset(page.firstRetained);
    for (const LogEntry &entry : page.entries) {
        this->work.read(entry.offset, entry.text);
    }
    if (this->work.nextOffset() >= page.end) {
        this->readAt = sentAt;
    }
}

WorkView WorkDesk::view() const
{
    return { &this->work.state(), this->work.isUsable() && this->readAt != Instant(), this->readAt,
             this->work.nextOffset() };
}

//==============================================================================
void WorkDesk::tick()
{
    const WorkView current = this->view();
    double owned = 0;
    for (auto &[group, desk] : this->desks) {
        desk->setWanted(this->isWanted(group));
        desk->tick(current, this->jobs.book(), this->jobs.batchClasses());
        owned += desk->owner().phase() == GroupOwner::Phase::Owning ? 1 : 0;
    }
    this->context.metrics->set("bulrush_groups_owned", owned);
    this->renewForSilentOwners();
    this->reportFinishedJobs();
}

bool WorkDesk::isWanted(const GroupId &group) const
{
    if (!this->liveNodes.contains(this->settings.node)) {
        return false;
    }
    const NodeId owner = this->work.state().ownershipOf(group).node;
    // An owner that is there keeps the group, so that a node's return moves nothing.
    const NodeId wanted =
            this->liveNodes.contains(owner) ? owner : firstInLine(this->liveNodes, group.name());
    return wanted == this->settings.node;
}

void WorkDesk::renewForSilentOwners()
{
    std::vector<RenewalTarget> targets;
    for (const auto &[group, workers] : this->workersByGroup) {
        const NodeId owner = this->work.state().ownershipOf(group).node;
        const bool silent = !owner.isEmpty() && !this->liveNodes.contains(owner);
        if (!silent || firstInLine(this->liveNodes, group.name()) != this->settings.node) {
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

void WorkDesk::reportFinishedJobs()
{
    const Instant now = this->context.clock->now();
    if (this->finishedCheckedAt + finishedCheckPeriod > now) {
        return;
    }
    this->finishedCheckedAt = now;
    for (const auto &[run, declaration] : this->jobs.declarations()) {
        const JobSpec *spec = this->jobs.book().find(run);
        if (spec != nullptr && this->work.state().isComplete(run, spec->taskCount)) {
            this->jobDone(declaration.name, run);
        }
    }
}

} // namespace bulrush
