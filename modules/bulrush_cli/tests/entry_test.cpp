#include "FakeNodes.h"

#include "bulrush_entry/operators/StatusJson.h"
#include "bulrush_steps/tests/FakeWorkers.h"

#include <criterion/criterion.h>

using namespace bulrush;

namespace {

/** A dispatcher of an entry node that is the owner and has one job. */
class EntryOwner : public Dispatcher::Listener
{
public:
    EntryOwner()
        : workers(clock)
        , dispatcher(clock, workers, nullptr, log, DispatchSettings(), decisions, *this)
    {
        StepJob job;
        job.id = JobId("0123456789abcdef");
        job.queue = "checks";
        job.steps.resize(1);
        StepJobTable book;
        book.applyJobRecord({ records::jobKey(job.id), records::encode(job), 0 }, this->clock);
        this->dispatcher.begin({ 7, {} }, std::move(book));
    }

    void superseded(std::string_view /*by*/) override { }
    bool isOwner() const override { return true; }
    bool isSoleOwner() const override { return true; }

    ManualClock clock;
    test::FakeWorkers workers;
    test::FakeLog log;
    NullDecisionLog decisions;
    Dispatcher dispatcher;
};

HttpResponse jsonAnswer(std::string body)
{
    HttpResponse response;
    response.status = 200;
    response.body = std::move(body);
    return response;
}

} // namespace

Test(EntryNode, statusShowsTheOwnerAndDegradedConditions)
{
    const EntryOwner owner;
    NodeStatus status;
    status.node = "n1";
    status.dataCentre = "a";
    status.owner = true;
    status.fencingToken = 7;
    status.configVersion = 3;
    status.storeLost = true;
    status.storeSilence = milliseconds(900);
    CliFixture tool(1);
    tool.nodes.node(1).extraAnswers["status"] = jsonAnswer(statusJson(status, owner.dispatcher));
    cr_assert_eq(tool.run({ "status" }), ExitStatus::Done);
    const std::string text = tool.out.str();
    cr_assert(text.find("the store has not answered for 900 ms") != std::string::npos, "%s",
              text.c_str());
    cr_assert(text.find("degraded") != std::string::npos);
    cr_assert(text.find("workers") != std::string::npos, "the owner's group is missing");
    cr_assert(text.find("silent") != std::string::npos);
}

Test(EntryNode, explainShowsTheStateOfAJobsTasks)
{
    const EntryOwner owner;
    const JobId job("0123456789abcdef");
    CliFixture tool(1);
    tool.nodes.node(1).extraAnswers["explain"] =
            jsonAnswer(explainJson(job, owner.dispatcher.jobs(), owner.dispatcher).value());
    cr_assert_eq(tool.run({ "explain", "job", "0123456789abcdef" }), ExitStatus::Done);
    const std::string text = tool.out.str();
    cr_assert(text.find("queued") != std::string::npos, "%s", text.c_str());
    cr_assert(text.find("checks") != std::string::npos);
}
