#include "bulrush_tasks/model/JobRegistry.h"

namespace bulrush {

void JobRegistry::add(const JobSpec &spec)
{
    const auto found = this->jobs.find(spec.job);
    std::uint64_t order = this->nextOrder;
    if (found == this->jobs.end()) {
        ++this->nextOrder;
    } else {
        order = found->second.order;
        this->queue.erase({ !found->second.spec.urgent, order });
    }
    Entry &entry = this->jobs[spec.job];
    entry = { spec, order };
    this->queue[{ !spec.urgent, order }] = &entry.spec;
}

void JobRegistry::cancel(const JobId &job)
{
    this->cancelled.insert(job);
}

void JobRegistry::remove(const JobId &job)
{
    const auto found = this->jobs.find(job);
    if (found == this->jobs.end()) {
        return;
    }
    this->queue.erase({ !found->second.spec.urgent, found->second.order });
    this->jobs.erase(found);
    this->cancelled.erase(job);
}

void JobRegistry::setQuota(const TeamId &team, const Resources &quota)
{
    this->quotas[team] = quota;
}

const JobSpec *JobRegistry::find(const JobId &job) const
{
    const auto found = this->jobs.find(job);
    return found == this->jobs.end() ? nullptr : &found->second.spec;
}

const Resources *JobRegistry::quotaOf(const TeamId &team) const
{
    const auto found = this->quotas.find(team);
    return found == this->quotas.end() ? nullptr : &found->second;
}

void JobRegistry::visit(bool urgentOnly, const std::function<bool(const JobSpec &)> &visitor) const
{
    for (const auto &[order, spec] : this->queue) {
        const bool ordinary = order.first;
        if ((ordinary && urgentOnly) || !visitor(*spec)) {
            return;
        }
    }
}

std::vector<const JobSpec *> JobRegistry::inOrder() const
{
    std::vector<const JobSpec *> result;
    result.reserve(this->queue.size());
    for (const auto &[order, spec] : this->queue) {
        result.push_back(spec);
    }
    return result;
}

} // namespace bulrush
