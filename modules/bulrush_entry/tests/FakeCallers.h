#pragma once

#include "bulrush_core/errors/Error.h"
#include "bulrush_entry/front/CallerProtocol.h"
#include "bulrush_entry/front/OwnerQuestions.h"
#include "bulrush_steps/ports/RecordDecoder.h"

#include <utility>
#include <vector>

namespace bulrush::test {

/** Path of a job in the queue of FakeDecoder's configuration. */
constexpr const char *jobPath = "/q/0123456789abcdef";

/** Decodes any body except "bad" as a job with one step of one task, and any configuration as one
    with the queue "q". */
class FakeDecoder : public RecordDecoder
{
public:
    bool isServingConfig(std::string_view /*key*/) const override { return true; }
    ServingConfig servingConfig(std::string_view /*value*/) const override
    {
        ServingConfig config;
        QueuePolicy queue;
        queue.name = "q";
        queue.host = "h";
        queue.prefix = "/q/";
        queue.service = ServiceId("s");
        config.queues = { queue };
        return config;
    }
    WorkerEntry workerEntry(std::string_view /*key*/, std::string_view /*value*/) const override
    {
        return {};
    }
    bool isEvacuationRequest(std::string_view key) const override
    {
        return key.starts_with("evacuate/");
    }

    DataCentreId evacuatedDataCentre(std::string_view key) const override
    {
        const std::string_view name = key.substr(std::string_view("evacuate/").size());
        if (name.empty()) {
            throw Error("decode", std::string(key), "names no data centre");
        }
        return DataCentreId(name);
    }

    StepJob submission(std::string_view body) const override
    {
        if (body == "bad") {
            throw Error("decode", "phases", "is missing");
        }
        StepJob job;
        job.steps.resize(1);
        return job;
    }
};

/** Answers all questions within the call, or none. */
class FakeOwner : public OwnerQuestions
{
public:
    void askState(const JobId & /*job*/, Callback callback) override { this->ask(callback); }
    void askWaitingCount(const std::string & /*queue*/, Callback callback) override
    {
        this->ask(callback);
    }

    /** Calls the callbacks of the questions that were not answered. */
    void answerUnanswered()
    {
        for (const Callback &callback : std::exchange(this->unanswered, {})) {
            callback(this->answer);
        }
    }

    OwnerAnswer answer;
    bool silent = false;
    std::vector<Callback> unanswered;

private:
    void ask(const Callback &callback)
    {
        if (this->silent) {
            this->unanswered.push_back(callback);
        } else {
            callback(this->answer);
        }
    }
};

/** Takes requests as they are; the status of a response is 200 plus the outcome's number. */
class FakeProtocol : public CallerProtocol
{
public:
    static constexpr const char *readinessPath = "/ready";

    static int statusOf(CallerOutcome outcome) { return 200 + static_cast<int>(outcome); }

    std::vector<std::string> headerNames() const override { return {}; }

    CallerRequest decode(const HttpRequest &request) const override
    {
        CallerRequest decoded;
        decoded.kind =
                request.method == "POST" ? CallerRequestKind::Submit : CallerRequestKind::Query;
        decoded.host = "h";
        decoded.path = request.path;
        decoded.body = request.body;
        return decoded;
    }

    HttpResponse encode(const CallerAnswer &answer) const override
    {
        HttpResponse response;
        response.status = statusOf(answer.outcome);
        response.body = "{}";
        return response;
    }

    bool isReadinessRequest(const HttpRequest &request) const override
    {
        return request.path == readinessPath;
    }
};

} // namespace bulrush::test
