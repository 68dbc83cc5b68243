#pragma once

#include "bulrush_steps/ports/WorkerProcessList.h"

#include <map>
#include <memory>
#include <optional>
#include <set>

namespace bulrush {

/**
    Finds out which of the workers that do not answer have ended.

    A worker that is only cut off runs on, so its silence says nothing about its tasks. The list of
    VMs tells the two apart. A worker has ended when two readings of the list in a row do not show
    it: pages of one reading may miss an entry while others are removed.
*/
class EndedWorkerFinder
{
public:
    /** Receives the workers that have ended. */
    struct Listener
    {
        virtual ~Listener() = default;
        virtual void workerEnded(const TargetId &worker) = 0;

        /** Returns whether a list can be right: whether it shows most of the workers that answer.
         */
        virtual bool isCredible(const WorkerProcesses &processes) const = 0;
    };

    /** @param processes null when the platform offers no list
        @param callsPerSecond how many calls the platform accepts from all nodes together */
    EndedWorkerFinder(const Clock &clock, WorkerProcessList *processes, double callsPerSecond,
                      Listener &listener);
    ~EndedWorkerFinder();

    EndedWorkerFinder(const EndedWorkerFinder &) = delete;
    EndedWorkerFinder &operator=(const EndedWorkerFinder &) = delete;

    /** Reads the list if that is due.
        @param silent the workers that do not answer and may run tasks */
    void tick(const std::set<TargetId> &silent);

    /** Returns how old the newest list is that was read since clear(); none if none was. */
    std::optional<milliseconds> listAge() const;

    /** Forgets all workers. An answer that arrives later is ignored. */
    void clear();

private:
    /** What is known of a worker that does not answer. */
    struct SilentWorker
    {
        Instant silentSince {};
        /** Whether the last reading did not show it. */
        bool missing = false;
        /** Whether it was reported as ended. */
        bool ended = false;
    };

    void updateSilentWorkers(const std::set<TargetId> &silent, Instant now);
    bool readIsDue(Instant now) const;
    void readList(Instant now);
    void handleList(Instant sentAt, const WorkerProcesses &processes);

    const Clock &clock;
    WorkerProcessList *const list;
    const double callsPerSecond;
    Listener &listener;
    std::map<TargetId, SilentWorker> silentWorkers;
    bool reading = false;
    /** When the newest list that was read was asked for. */
    std::optional<Instant> listReadAt;
    Instant nextReadAt {};
    /** When another reading keeps within the share of the accepted calls. */
    Instant nextAllowedAt {};
    /** The number of calls that the last complete reading took. */
    std::uint32_t callsPerReading = 1;
    /** Grows while the readings show all silentWorkers, which are cut off then. */
    Duration interval {};
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace bulrush
