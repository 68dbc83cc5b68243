#pragma once

#include "bulrush_core/events/EventLog.h"
#include "bulrush_node/groups/LearnedPlacement.h"
#include "bulrush_node/metrics/NodeMetrics.h"
#include "bulrush_platform/bulrush_platform.h"
#include "bulrush_tasks/bulrush_tasks.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bulrush {

/** Sends exchanges to workers. Tests implement this interface with simulated workers. */
class WorkerPort
{
public:
    /** Called with the worker's answer, or with nothing when the exchange failed or timed out. */
    using Callback = std::function<void(std::optional<ExchangeAnswer>)>;

    WorkerPort() = default;
    virtual ~WorkerPort() = default;
    WorkerPort(const WorkerPort &) = delete;
    WorkerPort &operator=(const WorkerPort &) = delete;

    /** Sends one exchange. */
    virtual void exchange(const VmId &worker, const ExchangeRequest &request,
                          Callback callback) = 0;
};

/** Services that a GroupRunner uses; all must outlive it. */
struct GroupContext
{
    EventLoop *loop = nullptr;
    const Clock *clock = nullptr;
    Log *log = nullptr;
    WorkerPort *workers = nullptr;
    NodeMetrics *metrics = nullptr;
    EventLog *events = nullptr;
};

/** Runs the GroupOwner of one worker group: reads the group's stream and executes its actions. */
class GroupRunner : private LogReader::Listener
{
public:
    GroupRunner(const GroupContext &context, const OwnerIdentity &identity,
                const Durations &durations, Duration poll);
    ~GroupRunner() override;

    GroupRunner(const GroupRunner &) = delete;
    GroupRunner &operator=(const GroupRunner &) = delete;

    /** Sets whether this node is to own the group. */
    void setWanted(bool wanted);

    /** Applies the platform's list of the group's VMs. */
    void updateVms(const std::vector<VmStatus> &list);

    /** Executes the actions of the GroupOwner that are due. */
    void tick(const WorkView &view, const JobRegistry &jobs, const BatchClasses &classes);

    /** Sets the weights of the three measures in the choice of workers. */
    void setWeights(const interference::PolicyWeights &weights);

    const GroupOwner &owner() const { return this->groupOwner; }

private:
    LogOffset readOffset() const override { return this->groupOwner.nextGroupOffset(); }
    void pageRead(const LogPage &page, Instant sentAt) override;
    void availabilityChanged(bool /*available*/) override { }

    void countAttemptEnds(std::string_view payload);
    void execute(const AppendAction &action);
    void execute(const ExchangeAction &action);
    void execute(const EventAction &action);

    GroupContext context;
    /** The end of the stream at the first read. Attempt ends before it are not counted, as they
       were recorded before this node read the stream. */
    std::optional<LogOffset> countFromOffset;
    LearnedPlacement placement;
    GroupOwner groupOwner;
    LogReader reader;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace bulrush
