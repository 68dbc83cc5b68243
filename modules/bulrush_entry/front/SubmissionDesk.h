#pragma once

#include "bulrush_entry/front/CallerTypes.h"
#include "bulrush_entry/front/OwnerQuestions.h"
#include "bulrush_entry/front/StoreHealth.h"
#include "bulrush_steps/follow/RecordsView.h"
#include "bulrush_steps/model/ServingConfig.h"
#include "bulrush_steps/ports/KeyedLog.h"
#include "bulrush_steps/ports/RecordDecoder.h"

#include <functional>
#include <list>
#include <memory>
#include <optional>

namespace bulrush {

class DecisionLog;

/**
    Serves callers: puts jobs and cancellations on record, and tells states.

    A job is refused only while nothing of it can be on record; after an append without an answer
    the outcome is repeated until it is known, or told as unknown.
*/
class SubmissionDesk
{
public:
    using Callback = std::function<void(CallerAnswer)>;

    SubmissionDesk(const Clock &clock, KeyedLog &log, const RecordDecoder &decoder,
                   OwnerQuestions &owner, RecordsView &view, StoreHealth &health,
                   DecisionLog &decisions);

    /** Takes the configuration in force. */
    void configure(const ServingConfig &serving) { this->config = serving; }

    /** Returns whether a configuration is known. */
    bool configured() const { return this->config.has_value(); }

    /** Serves a request. The callback is called once, perhaps at once. */
    void serve(const CallerRequest &request, const Callback &callback);

    /** Repeats appends whose outcome is unknown. */
    void tick();

private:
    /** An append for a caller that waits. */
    struct Pending
    {
        JobId job;
        KeyedRecord record;
        CallerOutcome success = CallerOutcome::Accepted;
        Instant giveUpAt {};
        Instant retryAt {};
        bool inFlight = false;
        /** Whether an earlier try may have taken effect. */
        bool mayBeOnRecord = false;
        Callback callback;
    };

    void submit(const CallerRequest &request, const QueuePolicy &queue, const JobId &job,
                const Callback &callback);
    void query(const JobId &job, const Callback &callback);
    void cancel(const CallerRequest &request, const QueuePolicy &queue, const JobId &job,
                const Callback &callback);
    void count(const std::string &queue, const Callback &callback);
    void stateFromRecords(const JobId &job, const Callback &callback);
    void append(Pending pending);
    void send(const std::shared_ptr<Pending> &pending);
    void appended(const std::shared_ptr<Pending> &pending, const AppendAnswer &result);
    void giveUp(const std::shared_ptr<Pending> &pending, std::string_view reason);
    Instant giveUpTime(const CallerRequest &request, const QueuePolicy &queue) const;
    CallerAnswer refusal(std::string reason) const;

    const Clock &clock;
    KeyedLog &log;
    const RecordDecoder &decoder;
    OwnerQuestions &owner;
    RecordsView &view;
    StoreHealth &health;
    DecisionLog &decisions;
    std::optional<ServingConfig> config;
    std::list<std::shared_ptr<Pending>> open;
};

} // namespace bulrush
