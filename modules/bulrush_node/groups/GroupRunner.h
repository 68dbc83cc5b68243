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

/** Carries out exchanges with workers. The interface at which tests put their own workers. */
class WorkerPort
{
public:
    /** Called with the worker's answer; none when it failed or came too late. */
    using Callback = std::function<void(std::optional<ExchangeAnswer>)>;

    WorkerPort() = default;
    virtual ~WorkerPort() = default;
    WorkerPort(const WorkerPort &) = delete;
    WorkerPort &operator=(const WorkerPort &) = delete;

    /** Sends one exchange. */
    virtual void exchange(const VmId &worker, const ExchangeRequest &request,
                          Callback callback) = 0;
};

/** What a group's desk works with; all outlive it. */
struct GroupContext
{
    EventLoop *loop = nullptr;
    const Clock *clock = nullptr;
    Log *log = nullptr;
    WorkerPort *workers = nullptr;
    NodeMetrics *metrics = nullptr;
    EventLog *events = nullptr;
};

/** Runs the GroupOwner of one worker group: reads its stream and carries out its actions. */
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

    /** Takes the platform's list of the group's VMs. */
    void updateVms(const std::vector<VmStatus> &list);

    /** Does what is due. */
    void tick(const WorkView &view, const JobBook &jobs, const BatchClasses &classes);

    /** Sets how much each of the three measures counts in the choice of workers. */
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
    /** Ends before this offset were on record before this node read the stream. */
    std::optional<LogOffset> countFromOffset;
    LearnedPlacement placement;
    GroupOwner groupOwner;
    LogReader reader;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace bulrush
