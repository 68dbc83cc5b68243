#include "FakeNodes.h"

#include <criterion/criterion.h>

using namespace bulrush;

Test(Publish, waitsUntilInForceEverywhere)
{
    CliFixture cli(3);
    const std::string file = cli.file("review.json", serviceFile(200));
    cr_assert(cli.run({ "publish", file }) == ExitStatus::Done, "%s", cli.err.str().c_str());
    cr_assert(contains(cli.out, "service/review: in force at offset 0 on 3 of 3 nodes"));
    cr_assert(contains(cli.out, "id new-1, supersedes nothing"));
    cr_assert(cli.nodes.node(3).state.find(RecordKind::Service, "review")->publisher == "mary");
}

Test(Publish, supersedesTheRecordInForce)
{
    CliFixture cli(1);
    cli.nodes.append(serviceRecord("old-1", "", "paul", 100));
    const std::string file = cli.file("review.json", serviceFile(200));
    cr_assert(cli.run({ "publish", file }) == ExitStatus::Done);
    cr_assert(contains(cli.out, "supersedes old-1 of paul"));
    cr_assert(cli.run({ "publish", file }) == ExitStatus::Done);
    cr_assert(contains(cli.out, "id new-2, supersedes new-1 of mary"));
}

Test(Publish, supersedesAJobThatHasEnded)
{
    CliFixture cli(1);
    const std::string body = R"("body":{"team":"kask","tasks":1,"batchClass":"report",)"
                             R"("cpuMilli":100,"memoryMb":10,"runMs":1000}})";
    const std::string head = R"({"schema":"job/1","kind":"job","name":"nightly",)";
    cli.nodes.append(head + R"("id":"job-1","supersedes":"","publisher":"paul",)" + body);
    cli.nodes.append(jobDoneRecord(*cli.nodes.node(1).state.find(RecordKind::Job, "nightly"),
                                   "done-job-1", NodeId("node-1"), JobOutcome::Finished)
                             .text());
    cr_assert(cli.nodes.node(1).state.find(RecordKind::Job, "nightly") == nullptr);
    const std::string file = cli.file("nightly.json", head + body);
    cr_assert(cli.run({ "publish", file }) == ExitStatus::Done, "%s", cli.err.str().c_str());
    cr_assert(contains(cli.out, "supersedes job-1"));
}

Test(Publish, reportsTheWinnerWhenOperatorsRace)
{
    CliFixture cli(2);
    cli.nodes.append(serviceRecord("old-1", "", "paul", 100));
    cli.nodes.beforeAppend = [&cli] {
        cli.nodes.append(serviceRecord("anna-1", "old-1", "anna", 300));
    };
    const std::string file = cli.file("review.json", serviceFile(200));
    cr_assert(cli.run({ "publish", file }) == ExitStatus::Refused);
    cr_assert(contains(cli.err, "found \"old-1\", expected \"anna-1\""));
    cr_assert(contains(cli.err, "anna was first with id anna-1"));
    cr_assert(cli.nodes.node(2).state.find(RecordKind::Service, "review")->id == "anna-1");
}

Test(Publish, reportsWhoHasSupersededTheRecordSince)
{
    CliFixture cli(1);
    FakeNodes &nodes = cli.nodes;
    nodes.node(1).appendsWithLostAnswer = 1;
    bool first = true;
    nodes.beforeAppend = [&nodes, &first] {
        // The repeated append arrives after another operator has superseded the record.
        if (!first) {
            nodes.append(serviceRecord("anna-1", "new-1", "anna", 300));
        }
        first = false;
    };
    const std::string file = cli.file("review.json", serviceFile(200));
    cr_assert(cli.run({ "publish", file }) == ExitStatus::Done, "%s", cli.err.str().c_str());
    cr_assert(contains(cli.out, "superseded since by anna with id anna-1"));
}

Test(Publish, anAppendWhoseAnswerIsLostIsRepeatedWithTheSameId)
{
    CliFixture cli(2);
    cli.nodes.node(1).appendsWithLostAnswer = 1;
    const std::string file = cli.file("review.json", serviceFile(200));
    cr_assert(cli.run({ "publish", file }) == ExitStatus::Done, "%s", cli.err.str().c_str());
    cr_assert_eq(cli.nodes.logLength(), 2U);
    cr_assert_eq(cli.idCount, 1);
    cr_assert_eq(cli.nodes.node(1).state.history("service", "review").size(), 1U);
}

Test(Publish, anAppendWithUnknownOutcomeIsRepeated)
{
    CliFixture cli(1);
    cli.nodes.node(1).appendsWithUnknownOutcome = 3;
    const std::string file = cli.file("review.json", serviceFile(200));
    cr_assert(cli.run({ "publish", file }) == ExitStatus::Done, "%s", cli.err.str().c_str());
    cr_assert_eq(cli.nodes.logLength(), 1U);
}

Test(Publish, outcomeIsUnknownWhenTheLogNeverAnswers)
{
    CliFixture cli(1);
    cli.nodes.node(1).appendsWithUnknownOutcome = 1'000'000;
    const std::string file = cli.file("review.json", serviceFile(200));
    cr_assert(cli.run({ "publish", "--wait", "5", file }) == ExitStatus::OutcomeUnknown);
    cr_assert(contains(cli.err, "outcome unknown"));
    cr_assert(contains(cli.err, "id new-1"));
}

Test(Publish, outcomeIsUnknownWhenANodeDoesNotReadTheRecord)
{
    CliFixture cli(3);
    cli.nodes.node(2).isStalled = true;
    const std::string file = cli.file("review.json", serviceFile(200));
    cr_assert(cli.run({ "publish", "--wait", "5", file }) == ExitStatus::OutcomeUnknown);
    cr_assert(contains(cli.err, "in force only on 2 of 3 nodes"));
}

Test(Publish, countsPeersOfTheNamedNode)
{
    CliFixture cli(3);
    cli.nodes.node(3).isStalled = true;
    const std::string file = cli.file("review.json", serviceFile(200));
    cr_assert(cli.run({ "--node", "10.0.0.1:9100", "publish", "--wait", "5", file })
              == ExitStatus::OutcomeUnknown);
    cr_assert(contains(cli.err, "in force only on 2 of 3 nodes"));
}

Test(Publish, triesTheNextNodeWhenOneDoesNotAnswer)
{
    CliFixture cli(2);
    cli.nodes.node(1).isReachable = false;
    const std::string file = cli.file("review.json", serviceFile(200));
    cr_assert(cli.run({ "publish", file }) == ExitStatus::Done, "%s", cli.err.str().c_str());
    cr_assert(contains(cli.out, "on 1 of 1 nodes; no answer from 10.0.0.1:9100\n"));
}

Test(Publish, queriesNodesThatAnsweredBeforeOthers)
{
    CliFixture cli(3);
    cli.nodes.node(1).isReachable = false;
    const std::string file = cli.file("review.json", serviceFile(200));
    cr_assert(cli.run({ "publish", file }) == ExitStatus::Done, "%s", cli.err.str().c_str());
    // The only single call to node 1 is the first query for the record in force. Later requests go
    // to all nodes or to nodes that answered.
    cr_assert_eq(cli.nodes.node(1).singleNodeCalls, 1);
}

Test(Publish, endsWhenNoNodeAnswers)
{
    CliFixture cli(2);
    cli.nodes.node(1).isReachable = false;
    cli.nodes.node(2).isReachable = false;
    const std::string file = cli.file("review.json", serviceFile(200));
    cr_assert(cli.run({ "publish", file }) == ExitStatus::NoNodeAnswered);
    cr_assert(contains(cli.err, "10.0.0.1:9100: no connection; 10.0.0.2:9100: no connection"));
}

Test(Publish, publishesNothingWhenOneFileIsInvalid)
{
    CliFixture cli(1);
    const std::string good = cli.file("review.json", serviceFile(200));
    const std::string bad = cli.file("bad.json", serviceFile(0));
    cr_assert(cli.run({ "publish", good, bad }) == ExitStatus::Refused);
    cr_assert(contains(cli.err, "/body/deadlineMs: found 0"));
    cr_assert_eq(cli.nodes.logLength(), 0U);
}

Test(Publish, reportsFilesThatWereNotPublished)
{
    CliFixture cli(1);
    cli.nodes.append(serviceRecord("old-1", "", "paul", 100));
    const std::string file = cli.file("review.json", serviceFile(200));
    cr_assert(cli.run({ "publish", "--supersedes", "wrong", file, file }) == ExitStatus::Refused);
    cr_assert(contains(cli.err, "not published: 1 further files"));
    cr_assert_eq(cli.nodes.logLength(), 2U);
}

Test(Publish, showsProgressOnATerminalOnly)
{
    CliFixture cli(1);
    const std::string file = cli.file("review.json", serviceFile(200));
    cr_assert(cli.run({ "publish", file }) == ExitStatus::Done);
    cr_assert(cli.err.str().empty());
    cli.environment.isTerminal = true;
    cr_assert(cli.run({ "publish", file }) == ExitStatus::Done);
    cr_assert(contains(cli.err, "waiting for the verdict"));
}

Test(Publish, writesJson)
{
    CliFixture cli(2);
    const std::string file = cli.file("review.json", serviceFile(200));
    cr_assert(cli.run({ "--output", "json", "publish", "--publisher", "deploy", file })
              == ExitStatus::Done);
    const auto result = nlohmann::json::parse(cli.out.str());
    cr_assert(result.at("record") == "service/review");
    cr_assert(result.at("verdict").at("outcome") == "accepted");
    cr_assert(result.at("verdict").at("publisher") == "deploy");
    cr_assert(result.at("nodesInForce") == 2);
}

Test(Publish, reportsThatTheKeyIsRefused)
{
    CliFixture cli(1);
    cli.nodes.node(1).key = "secret";
    const std::string file = cli.file("review.json", serviceFile(200));
    cr_assert(cli.run({ "publish", file }) == ExitStatus::Refused);
    cr_assert(contains(cli.err, "BULRUSHRILL_KEY"));
    cr_assert(cli.run({ "--key", "secret", "publish", file }) == ExitStatus::Done);
    cli.environment.key = "secret";
    cr_assert(cli.run({ "publish", file }) == ExitStatus::Done);
}
