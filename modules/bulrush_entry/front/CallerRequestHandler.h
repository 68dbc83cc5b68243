#pragma once

#include "bulrush_entry/front/CallerAppends.h"
#include "bulrush_entry/front/CallerTypes.h"
#include "bulrush_entry/front/DrainSchedule.h"
#include "bulrush_entry/front/JobAdmission.h"
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
    Serves callers: records jobs and cancellations in the log, and reports the states of jobs.

    A job is refused only when no attempt to append it can have taken effect.
    @see CallerAppends
*/
class CallerRequestHandler
{
public:
    using Callback = std::function<void(CallerAnswer)>;

    CallerRequestHandler(const Clock &clock, KeyedLog &log, const RecordDecoder &decoder,
                         OwnerQuestions &owner, RecordsView &view, StoreHealth &health,
                         DecisionLog &decisions, JobAdmission admission);

    /** Sets the configuration in force. */
    void configure(const ServingConfig &serving) { this->config = serving; }

    bool configured() const { return this->config.has_value(); }

    /** Serves a request. The callback is called once, possibly before this function returns. */
    void serve(const CallerRequest &request, const Callback &callback);

    /** Repeats appends that have not succeeded, until their deadlines have passed. */
    void tick() { this->appends.tick(); }

    /** Returns the appends of callers' records. */
    CallerAppends &callerAppends() { return this->appends; }

    /** Returns whether the store takes long for appends. */
    bool storeIsSlow() const { return this->appends.storeIsSlow(); }

    /** Follows a step of this node's stop, which is not taken back: from RefuseNew on, refuses new
        requests at once; from AnswerOpen on, answers open ones with what is known of them. */
    void drain(DrainStep step);

private:
    /** The callback of a question to the owner or the records; empty once it is answered. */
    using Question = std::shared_ptr<Callback>;

    void submit(const CallerRequest &request, const QueuePolicy &queue, const JobId &job,
                const Callback &callback);
    /** Gives a job the settings of its queue. */
    void applyPolicy(StepJob &job, const QueuePolicy &queue) const;

    /** Refuses a submission that is not recorded. */
    void refuseSubmission(const JobId &job, std::string_view queue, const CallerAnswer &answer,
                          const Callback &callback);

    /** Asks the owner how much memory the jobs take, unless it was asked just now. */
    void askForJobMemory(const std::string &queue);

    /** Returns an answer of the owner after noting what it tells of the memory. */
    const OwnerAnswer &noteMemory(const OwnerAnswer &answer);
    void query(const JobId &job, const Callback &callback);
    void cancel(const CallerRequest &request, const QueuePolicy &queue, const JobId &job,
                const Callback &callback);

    /** Records the cancellation of a job that is not on record. Its record may still be on its way:
        an append that got no answer may take effect later, and other nodes may repeat it. */
    void cancelBeforeRecord(const JobId &job, Instant deadline, const Callback &callback);

    /** Returns an append of a job's cancellation, which is answered as that of a job on record. */
    static CallerAppend cancellationOf(const JobId &job, const Cancellation &cancellation,
                                       Instant deadline, const Callback &callback);
    void answerWaitingCount(const std::string &queue, const Callback &callback);
    void answerStateFromRecords(const JobId &job, const Question &question);
    void answerWaitingCountFromRecords(const std::string &queue, const Question &question);
    Question openQuestion(const Callback &callback);
    void answerQuestion(const Question &question, const CallerAnswer &answer);
    void answerOpenRequests();
    Instant appendDeadline(const CallerRequest &request, const QueuePolicy &queue) const;
    CallerAnswer refusal(std::string reason, milliseconds retryAfter) const;
    CallerAnswer stopRefusal() const;

    const Clock &clock;
    KeyedLog &log;
    const RecordDecoder &decoder;
    OwnerQuestions &owner;
    RecordsView &view;
    StoreHealth &health;
    DecisionLog &decisions;
    JobAdmission admission;
    CallerAppends appends;
    std::optional<ServingConfig> config;
    std::list<Question> openQuestions;
    /** Whether this node stops so soon that new requests are refused. */
    bool refusesNew = false;
};

} // namespace bulrush
