#include "Fleet.h"

namespace bulrush {

namespace {

constexpr Resources taskNeed { 1500, 6000, 0 };
constexpr Resources vmCapacity { 64'000, 250'000, 0 };

VmId workerName(const GroupId &group, std::uint32_t worker)
{
    return VmId(group.name() + "-vm-" + std::to_string(worker));
}

JobId jobName(const GroupId &group)
{
    return JobId("reassessment-" + group.name());
}

} // namespace

Fleet::Fleet()
{
    this->groups.resize(groupCount);
    for (std::uint32_t index = 0; index < groupCount; ++index) {
        this->groups[index].id = GroupId("rack-" + std::to_string(index));
        this->prepare(this->groups[index]);
    }
    for (std::uint32_t index = 0; index < backlogJobs; ++index) {
        this->jobs.add({ JobId("waiting-" + std::to_string(index)),
                         TeamId("team"),
                         TaskKind::Batch,
                         1,
                         { 64'000, 250'000, 0 },
                         60'000,
                         false });
    }
}

void Fleet::prepare(Group &group)
{
    const JobId job = jobName(group.id);
    GroupState state;
    state.read(0, encode(GroupBatch { 1, 0, {} }));
    GroupBatch batch { 1, 1, {} };
    for (std::uint32_t index = 0; index < tasksPerGroup; ++index) {
        batch.records.emplace_back(IntentRecord { { { job, index }, 1 },
                                                  workerName(group.id, index % workersPerGroup),
                                                  TaskKind::Batch,
                                                  taskNeed,
                                                  600'000,
                                                  "" });
    }
    state.read(1, encode(batch));
    group.snapshot = state.snapshot(999);
    for (std::uint32_t worker = 0; worker < workersPerGroup; ++worker) {
        group.answers.push_back(this->makeAnswer(group, worker));
    }
    this->jobs.add(
            { job, TeamId("team"), TaskKind::Batch, tasksPerGroup, taskNeed, 600'000, false });
    const std::uint64_t offset = this->work.nextOffset();
    this->work.read(offset, encode(GroupClaim { "old", group.id, NodeId("old"), 1 }));
    this->work.read(
            offset + 1,
            encode(GroupOperation {
                    group.id,
                    1,
                    1,
                    { { WorkChange::ClaimTasks, job, 0, tasksPerGroup - 1, 0, {}, {} } } }));
}

std::string Fleet::makeAnswer(const Group &group, std::uint32_t worker) const
{
    ExchangeAnswer answer;
    answer.worker = workerName(group.id, worker);
    answer.accepted = true;
    answer.epoch = 2;
    answer.sequence = 1;
    answer.incarnation = "1";
    answer.capacity = vmCapacity;
    for (std::uint32_t index = worker; index < tasksPerGroup; index += workersPerGroup) {
        InventoryItem item;
        item.attempt = { { jobName(group.id), index }, 1 };
        item.epoch = 1;
        item.need = taskNeed;
        answer.inventory.push_back(item);
    }
    return encode(answer);
}

WorkView Fleet::view() const
{
    return { &this->work.state(), this->work.isUsable(), this->now, this->work.nextOffset() };
}

void Fleet::takeOver()
{
    for (Group &group : this->groups) {
        group.owner = std::make_unique<GroupOwner>(OwnerIdentity { NodeId("n"), "1", group.id },
                                                   this->durations, this->placement);
        group.owner->setGroupFirstRetainedOffset(1000);
        group.owner->readGroupRecord(1000, group.snapshot);
        group.owner->setWanted(true);
        for (int turn = 0; turn < 3; ++turn) {
            this->apply(group.owner->tick(this->now, this->view(), this->jobs));
        }
    }
}

void Fleet::apply(const std::vector<Action> &actions)
{
    for (const Action &action : actions) {
        const auto *append = std::get_if<AppendAction>(&action);
        if (append == nullptr) {
            continue;
        }
        if (append->stream == GroupOwner::workStream) {
            this->work.read(this->work.nextOffset(), append->payload);
            continue;
        }
        for (Group &group : this->groups) {
            if (group.owner && group.owner->groupStream() == append->stream) {
                group.owner->readGroupRecord(group.owner->nextGroupOffset(), append->payload);
            }
        }
    }
}

void Fleet::applyInventories()
{
    for (Group &group : this->groups) {
        for (const std::string &answer : group.answers) {
            group.owner->exchangeAnswered(decodeExchangeAnswer(answer), this->now);
        }
    }
}

std::size_t Fleet::tick(Duration step)
{
    this->now += step;
    std::size_t count = 0;
    for (Group &group : this->groups) {
        count += group.owner->tick(this->now, this->view(), this->jobs).size();
    }
    return count;
}

std::size_t Fleet::ownedCount() const
{
    std::size_t count = 0;
    for (const Group &group : this->groups) {
        bool known = group.owner->phase() == GroupOwner::Phase::Owning;
        for (const auto &[id, worker] : group.owner->workers()) {
            known = known && worker.ledger.isKnown();
        }
        count += known ? 1 : 0;
    }
    return count;
}

std::size_t Fleet::snapshotBytes() const
{
    std::size_t bytes = 0;
    for (const Group &group : this->groups) {
        bytes += group.snapshot.size();
    }
    return bytes;
}

} // namespace bulrush
