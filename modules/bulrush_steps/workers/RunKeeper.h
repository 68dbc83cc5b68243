#pragma once

#include "bulrush_steps/dispatch/DispatchSettings.h"
#include "bulrush_steps/workers/Worker.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace bulrush {

class DecisionLog;

/**
    Holds the workers of an owner: renews leases, learns what runs and what ended, sends orders, and
    tells when a run can surely not be alive any more.
*/
class RunKeeper
{
public:
    /** Receives what workers tell. */
    struct Listener
    {
        virtual ~Listener() = default;

        /** Called for a listed run that the keeper did not start itself.
            @returns the run to keep; its stopWanted says whether it must be stopped */
        virtual Run foundRun(const Worker &worker, const ListedRun &listed) = 0;

        /** Called once for each listed end. @returns the change of the records that holds it */
        virtual std::uint64_t runEnded(const Worker &worker, const Run *run,
                                       const ListedEnd &end) = 0;

        /** Called when a run is surely not alive and no end of it is listed. */
        virtual void runLost(const Worker &worker, const Run &run, std::string_view reason) = 0;

        /** Called when a start was refused; nothing runs. */
        virtual void startRefused(const Worker &worker, const Run &run, OrderOutcome outcome) = 0;

        /** Called when a worker has seen a higher fencing token. */
        virtual void superseded(const Worker &worker) = 0;

        /** Returns the newest change of the records that is stored. */
        virtual std::uint64_t storedChange() const = 0;

        /** Returns whether orders may be sent at this moment. */
        virtual bool mayOrder() const = 0;

        /** Returns whether nobody else can have renewed a lease that this owner has not renewed. */
        virtual bool soleOwner() const = 0;
    };

    RunKeeper(const Clock &clock, WorkerOrders &port, const DispatchSettings &settings,
              DecisionLog &decisions, Listener &listener);
    ~RunKeeper();

    RunKeeper(const RunKeeper &) = delete;
    RunKeeper &operator=(const RunKeeper &) = delete;

    /** Begins with a fencing token that is higher than that of any former owner. */
    void begin(std::uint64_t fencingToken);

    /** Forgets all workers; answers still to come are ignored. */
    void end();

    /** Takes what a worker says of itself in the platform's list. */
    void workerListed(const WorkerEntry &entry);

    /** Notes that the list no longer holds a worker. */
    void workerUnlisted(const TargetId &worker);

    /** Sends what is due: holds, stops; drops runs whose lease is over. */
    void tick();

    /** Sends a start. The run counts as alive from now on. */
    void start(Worker &worker, Run run, const StepJob &job, std::string checkpoint);

    /** Keeps new tasks off a worker for a time. */
    void setAside(Worker &worker, milliseconds span, std::string_view reason);

    /** Sets the share of processor time that a run works at. */
    void pace(Worker &worker, Run &run, std::uint32_t percent);

    /** Returns how many starts wait for their answers. */
    std::uint32_t startsInFlight() const { return this->startsWaiting; }

    std::map<TargetId, Worker> &workers() { return this->workerTable; }
    const std::map<TargetId, Worker> &workers() const { return this->workerTable; }
    Worker *find(const TargetId &worker);

    /** Calls a function with each run that may be alive of a job. */
    void eachRun(const JobId &job, const std::function<void(Worker &, Run &)> &visit);

private:
    void sendHold(Worker &worker);
    void holdAnswered(const TargetId &id, std::uint64_t number, Instant sentAt,
                      std::uint64_t acknowledged, const HoldAnswer &answer);
    void holdFailed(Worker &worker, OrderOutcome outcome);
    void processEnds(Worker &worker, const HoldAnswer &answer);
    void processRuns(Worker &worker, const HoldAnswer &answer, Instant sentAt);
    void workerReborn(Worker &worker, UnixMillis bornAt);
    void startAnswered(const TargetId &id, const AttemptRef &attempt, const OrderAnswer &answer);
    void stopAnswered(const TargetId &id, const AttemptRef &attempt, const OrderAnswer &answer);
    void sendStop(Worker &worker, Run &run);
    void dropLapsed(Worker &worker);
    void addRun(Worker &worker, Run run);
    void removeRun(Worker &worker, const AttemptRef &attempt);
    std::optional<WorkerMillis> leaseEnd(Worker &worker);
    milliseconds holdWait(const Worker &worker) const;
    bool holdIsDue(const Worker &worker, Instant now) const;

    const Clock &clock;
    WorkerOrders &port;
    const DispatchSettings settings;
    DecisionLog &decisions;
    Listener &listener;
    std::uint64_t fencingToken = 0;
    std::map<TargetId, Worker> workerTable;
    std::uint32_t startsWaiting = 0;
    /** Tells callbacks of an ended ownership from those of this one. */
    std::shared_ptr<bool> living;
};

} // namespace bulrush
