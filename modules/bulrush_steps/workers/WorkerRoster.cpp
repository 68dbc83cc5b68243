#include "bulrush_steps/workers/WorkerRoster.h"

#include <utility>

namespace bulrush {

bool WorkerRoster::update(std::map<TargetId, Worker> &workers,
                          const std::set<TargetId> &ofFormerOwners)
{
    std::set<TargetId> roster = ofFormerOwners;
    for (const auto &[id, worker] : workers) {
        if (worker.adopted) {
            roster.insert(id);
        }
    }
    const bool changed = roster != this->newest;
    this->newest = std::move(roster);
    this->markRecorded(workers);
    return changed;
}

std::vector<TargetId> WorkerRoster::workersToSend()
{
    this->sent = this->newest;
    return { this->sent.begin(), this->sent.end() };
}

void WorkerRoster::sentRecordStored(std::map<TargetId, Worker> &workers)
{
    this->recorded = this->sent;
    this->anyRecorded = true;
    this->markRecorded(workers);
}

void WorkerRoster::markRecorded(std::map<TargetId, Worker> &workers) const
{
    for (auto &[id, worker] : workers) {
        // The record that was sent may be persisted although it is not yet known to be.
        worker.onRoster = this->recorded.contains(id) && this->sent.contains(id);
    }
}

void WorkerRoster::clear()
{
    this->newest.clear();
    this->sent.clear();
    this->recorded.clear();
    this->anyRecorded = false;
}

} // namespace bulrush
