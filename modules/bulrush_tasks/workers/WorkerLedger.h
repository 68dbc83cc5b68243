#pragma once

#include "bulrush_ownership/streams/Guards.h"
#include "bulrush_tasks/model/Task.h"

#include <map>

namespace bulrush {

/**
    What one worker has committed: the single place where a commitment is made.

    Until the worker's inventory is known, its whole capacity counts as committed.
*/
class WorkerLedger
{
public:
    /** Sets what the VM has, as its inventory says. */
    void setCapacity(const Resources &capacity);

    /** Forgets the inventory: from now on nothing more fits. */
    void closeUntilInventory() { this->known = false; }

    /** Returns whether the inventory is known. */
    bool isKnown() const { return this->known; }

    /** Commits an attempt's need. @returns false, changing nothing, where it does not fit */
    bool commit(const AttemptId &attempt, const Resources &need);

    /** Records an attempt that is already committed at the worker or in the log. */
    void adopt(const AttemptId &attempt, const Resources &need);

    /** Releases an attempt's need; does nothing where none is held. */
    void release(const AttemptId &attempt);

    /** Returns what is free; never negative, and nothing while the inventory is unknown. */
    Resources free() const;

    const Resources &capacity() const { return this->total; }
    const Resources &committed() const { return this->used; }

    /** Returns the committed attempts. */
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
