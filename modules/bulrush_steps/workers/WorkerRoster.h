#pragma once

#include "bulrush_steps/workers/Worker.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace bulrush {

/**
    The list of the workers that may hold tasks, and how much of it is persisted.

    A worker receives its first task only after a persisted roster lists it, so that a new owner
    knows which workers to ask.
*/
class WorkerRoster
{
public:
    /** Updates the roster to the workers that have answered this owner and those that may still run
        tasks of former owners, and marks the workers that the persisted roster lists.
        @returns whether the roster changed and is to be persisted */
    bool update(std::map<TargetId, Worker> &workers, const std::set<TargetId> &ofFormerOwners);

    /** Returns the roster to append to the log now, and notes it as sent. */
    std::vector<TargetId> workersToSend();

    /** Notes that the record which was returned last is persisted. */
    void sentRecordStored(std::map<TargetId, Worker> &workers);

    /** Returns whether a roster of this owner is persisted. */
    bool isRecorded() const { return this->anyRecorded; }

    void clear();

private:
    void markRecorded(std::map<TargetId, Worker> &workers) const;

    std::set<TargetId> newest;
    /** The roster that was last returned for an append. */
    std::set<TargetId> sent;
    /** The roster that is persisted. */
    std::set<TargetId> recorded;
    bool anyRecorded = false;
};

} // namespace bulrush
