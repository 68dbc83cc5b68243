#pragma once

#include "bulrush_ownership/streams/Guards.h"
#include "bulrush_tasks/model/Task.h"

#include <map>

namespace bulrush {

/**
    Tracks the resources of one worker that are committed to attempts. Resources are committed
    nowhere else.

    Until the worker's inventory is known, its whole capacity counts as committed.
*/
class WorkerLedger
{
public:
    /** Sets the VM's capacity, as reported with its inventory. */
    void setCapacity(const Resources &capacity);

    /** Marks the inventory as unknown; until setCapacity() is called, nothing more fits. */
    void invalidateInventory() { this->known = false; }

    /** Returns whether the inventory is known. */
    bool isKnown() const { return this->known; }

    /** Commits an attempt's need.
        @returns false, without a change, if it does not fit or is committed already */
    bool commit(const AttemptId &attempt, const Resources &need);

    /** Records an attempt that is already committed on the worker or in the log, without a check
        against the capacity. */
    void adopt(const AttemptId &attempt, const Resources &need);

    /** Releases an attempt's need; does nothing if the attempt is not committed. */
    void release(const AttemptId &attempt);

    /** Returns the free resources; never negative, and none while the inventory is unknown. */
    Resources free() const;

    const Resources &capacity() const { return this->total; }
    const Resources &committed() const { return this->used; }

    /** Returns the committed attempts with their needs. */
    const std::map<AttemptId, Resources> &attempts() const { return this->held; }

private:
    friend struct GuardsAccess;

    Resources total;
    Resources used;
    std::map<AttemptId, Resources> held;
    bool known = false;
    Guards guards;
};

} // namespace bulrush
