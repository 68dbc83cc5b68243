#include "FakeNodes.h"

#include <criterion/criterion.h>

using namespace bulrush;

Test(CommandLine, errorsNameTheFieldTheValueAndWhatIsExpected)
{
    CliFixture cli(1);
    const std::vector<std::pair<std::vector<std::string>, std::string>> wrong {
        { { "publihs", "x" }, "command line: found \"publihs x\"" },
        { {}, "command line" },
        { { "get", "service" }, "command line" },
        { { "--output", "xml", "status" }, "--output: found \"xml\", expected table or json" },
        { { "--node", "localhost:1", "status" },
          "--node: found \"localhost:1\", expected IP:PORT" },
        { { "--node", "10.0.0.1", "status" }, "--node: found \"10.0.0.1\"" },
        { { "--node", "10.0.0.1:70000", "status" }, "--node: found \"10.0.0.1:70000\"" },
        { { "publish", "--wait", "-1", "x" }, "--wait: found \"-1\"" },
        { { "publish", "--wait", "soon", "x" }, "--wait: found \"soon\"" },
        { { "get", "servise", "review" }, "KIND: found \"servise\"" },
        { { "list", "jobs" }, "KIND: found \"jobs\"" },
        { { "explain", "task", "nightly" }, "TASK: found \"nightly\", expected JOB#NUMBER" },
        { { "explain", "task", "nightly#x" }, "TASK: found \"nightly#x\"" },
        { { "completion", "fish" }, "command line" },
    };
    for (const auto &[words, message] : wrong) {
        cr_expect(cli.run(words) == ExitStatus::WrongCommandLine, "%s", message.c_str());
        cr_expect(contains(cli.err, message), "expected %s, found %s", message.c_str(),
                  cli.err.str().c_str());
    }
}

Test(CommandLine, readsEndpoints)
{
    cr_assert_eq(readEndpoint("10.0.0.1:9100").text(), "10.0.0.1:9100");
    cr_assert_eq(readEndpoint("[::1]:9100").address, "::1");
}

Test(CommandLine, requiresANode)
{
    CliFixture cli(0);
    cr_assert(cli.run({ "list" }) == ExitStatus::WrongCommandLine);
    cr_assert(contains(cli.err, "--node: found none"));
    cr_assert(cli.run({ "status" }) == ExitStatus::WrongCommandLine);
}

Test(CommandLine, nodeOptionsOverrideTheEnvironment)
{
    CliFixture cli(2);
    cr_assert(cli.run({ "--node", "10.0.0.2:9100", "list" }) == ExitStatus::Done);
    cr_assert_eq(cli.nodes.node(1).calls, 0);
    cr_assert_eq(cli.nodes.node(2).calls, 1);
}

Test(CommandLine, dropsRepeatedNodesButKeepsRepeatedFiles)
{
    CliEnvironment environment;
    const std::vector<std::string> nodes { "--node", "10.0.0.1:1", "--node", "10.0.0.2:1",
                                           "--node", "10.0.0.3:1", "--node", "10.0.0.2:1" };
    for (const std::string command : { "status", "drain", "list", "audit" }) {
        std::vector<std::string> words = nodes;
        words.push_back(command);
        cr_expect_eq(readCommandLine(words, environment).nodes.size(), 3U, "%s", command.c_str());
    }
    const CommandLine line = readCommandLine({ "validate", "a", "b", "a" }, environment);
    cr_assert_eq(line.files.size(), 3U);
    environment.nodes = "10.0.0.1:1,,10.0.0.1:1";
    cr_assert_eq(readCommandLine({ "status" }, environment).nodes.size(), 1U);
}

Test(CommandLine, showsHelpAndVersion)
{
    CliFixture cli(0);
    cr_assert(cli.run({ "--help" }) == ExitStatus::Done);
    cr_assert(contains(cli.out, "Usage:"));
    for (const std::string_view command : commandNames()) {
        const std::string text(command);
        const std::size_t examples = cli.out.str().find("Examples:");
        cr_expect(cli.out.str().find(" " + text, examples) != std::string::npos, "%s",
                  text.c_str());
    }
    cr_assert(cli.run({ "--version" }) == ExitStatus::Done);
    cr_assert(contains(cli.out, "bulrushrill 0.1.0"));
}

//==============================================================================
Test(Validate, worksWithoutANode)
{
    CliFixture cli(0);
    const std::string good = cli.file("review.json", serviceFile(200));
    cr_assert(cli.run({ "validate", good }) == ExitStatus::Done);
    cr_assert(contains(cli.out, "service/review is valid"));
}

Test(Validate, namesTheFieldOfEachFile)
{
    CliFixture cli(0);
    const std::string good = cli.file("review.json", serviceFile(200));
    const std::string bad = cli.file("bad.json", serviceFile(0));
    const std::string broken = cli.file("broken.json", "{");
    const std::string list = cli.file("list.json", "[]");
    cr_assert(cli.run({ "validate", bad, good, broken, list, "/nowhere/x.json" })
              == ExitStatus::Refused);
    cr_assert(contains(cli.err, "/body/deadlineMs: found 0, expected"));
    cr_assert(contains(cli.err, "the whole text: found []"));
    cr_assert(contains(cli.err, "the file cannot be read"));
    cr_assert(contains(cli.out, "service/review is valid"));
}

Test(Validate, writesJson)
{
    CliFixture cli(0);
    const std::string bad = cli.file("bad.json", serviceFile(0));
    cr_assert(cli.run({ "--output", "json", "validate", bad }) == ExitStatus::Refused);
    cr_assert(nlohmann::json::parse(cli.out.str()).at(0).at("valid") == false);
}

//==============================================================================
Test(Get, printsTheRecordInForce)
{
    CliFixture cli(2);
    cli.nodes.append(serviceRecord("old-1", "", "paul", 100));
    cli.nodes.node(1).isReachable = false;
    cr_assert(cli.run({ "get", "service", "review" }) == ExitStatus::Done);
    cr_assert(nlohmann::json::parse(cli.out.str()).at("id") == "old-1");
    cr_assert(cli.run({ "get", "service", "other" }) == ExitStatus::Refused);
    cr_assert(contains(cli.err, "no record service/other is in force"));
}

Test(List, showsOneLinePerRecord)
{
    CliFixture cli(1);
    cli.nodes.append(serviceRecord("old-1", "", "paul", 100));
    cr_assert(cli.run({ "list" }) == ExitStatus::Done);
    cr_assert_eq(cli.out.str(),
                 "KIND     NAME    SCHEMA     ID     PUBLISHER\n"
                 "service  review  service/1  old-1  paul\n");
    cr_assert(cli.run({ "list", "job" }) == ExitStatus::Done);
    cr_assert_not(contains(cli.out, "review"));
    cr_assert(cli.run({ "--output", "json", "list", "service" }) == ExitStatus::Done);
    cr_assert_eq(nlohmann::json::parse(cli.out.str()).size(), 1U);
}

Test(List, endsWhenNoNodeAnswers)
{
    CliFixture cli(1);
    cli.nodes.node(1).isReachable = false;
    cr_assert(cli.run({ "list" }) == ExitStatus::NoNodeAnswered);
}

Test(Diff, showsUnifiedLines)
{
    CliFixture cli(1);
    cli.nodes.append(serviceRecord("old-1", "", "paul", 100));
    const std::string same = cli.file("review.json", serviceFile(100));
    const std::string changed = cli.file("changed.json", serviceFile(200));
    cr_assert(cli.run({ "diff", same }) == ExitStatus::Done);
    cr_assert(contains(cli.out, "no difference"));
    cr_assert(cli.run({ "diff", changed }) == ExitStatus::Done);
    cr_assert(contains(cli.out, "-    \"deadlineMs\": 100,\n+    \"deadlineMs\": 200,\n"));
    cr_assert(contains(cli.out, "--- in force\n"));
}

Test(Diff, showsANewRecordAsAdded)
{
    CliFixture cli(1);
    const std::string file = cli.file("review.json", serviceFile(100));
    cr_assert(cli.run({ "diff", file }) == ExitStatus::Done);
    cr_assert(contains(cli.out, "+  \"name\": \"review\","));
    cr_assert(contains(cli.out, "@@ -0,0 +1,"));
}

Test(Diff, separatesDistantChanges)
{
    const std::string oldText = "a\nb\nc\nd\ne\nf\ng\nh\ni\nj\n";
    const std::string newText = "A\nb\nc\nd\ne\nf\ng\nh\ni\nJ\n";
    cr_assert_eq(unifiedDiff(oldText, "old", newText, "new"),
                 "--- old\n+++ new\n@@ -1,4 +1,4 @@\n-a\n+A\n b\n c\n d\n"
                 "@@ -7,4 +7,4 @@\n g\n h\n i\n-j\n+J\n");
}

Test(History, showsWhoSupersededWhom)
{
    CliFixture cli(1);
    cli.nodes.append(serviceRecord("old-1", "", "paul", 100));
    cli.nodes.append(serviceRecord("anna-1", "old-1", "anna", 200));
    cli.nodes.append(serviceRecord("carl-1", "old-1", "carl", 300));
    cr_assert(cli.run({ "history", "service", "review" }) == ExitStatus::Done);
    cr_assert(contains(cli.out, "1       accepted  service/review  anna-1  old-1       anna"));
    cr_assert(contains(cli.out, "2       refused   service/review  carl-1  old-1       carl"));
    cr_assert(cli.run({ "audit" }) == ExitStatus::Done);
    cr_assert(contains(cli.out, "which was there first"));
    cr_assert(cli.run({ "--output", "json", "audit" }) == ExitStatus::Done);
    cr_assert_eq(nlohmann::json::parse(cli.out.str()).size(), 3U);
}

//==============================================================================
Test(Status, showsAllNodes)
{
    CliFixture cli(3);
    cli.nodes.append(serviceRecord("old-1", "", "paul", 100));
    cli.nodes.node(2).isReachable = false;
    cli.nodes.node(3).isStalled = true;
    cr_assert(cli.run({ "status" }) == ExitStatus::Done);
    cr_assert(contains(cli.out, "node-1  10.0.0.1:9100  north        serving"));
    cr_assert(contains(cli.out, "10.0.0.2:9100  ?            no connection"));
    cr_assert(contains(cli.out, "1d 3h"));
    cr_assert(contains(cli.out, "node-3  the platform's log does not answer"));
    cr_assert(contains(cli.out, "node-1  no link to node node-2"));
    cr_assert(contains(cli.out, "review   100 ms    target-1"));
    cr_assert(cli.run({ "--output", "json", "status" }) == ExitStatus::Done);
    const auto status = nlohmann::json::parse(cli.out.str());
    cr_assert(status.at("nodes").at(1).at("answered") == false);
}

Test(Status, endsWhenNoNodeAnswers)
{
    CliFixture cli(1);
    cli.nodes.node(1).isReachable = false;
    cr_assert(cli.run({ "status" }) == ExitStatus::NoNodeAnswered);
}

Test(Drain, requiresExactlyOneNode)
{
    CliFixture cli(2);
    cr_assert(cli.run({ "drain" }) == ExitStatus::WrongCommandLine);
    cr_assert(contains(cli.err, "found 2 nodes, expected exactly the one"));
    cr_assert(cli.run({ "--node", "10.0.0.2:9100", "drain" }) == ExitStatus::Done);
    cr_assert(contains(cli.out, "10.0.0.2:9100: draining"));
    cli.nodes.node(2).isReachable = false;
    cr_assert(cli.run({ "--node", "10.0.0.2:9100", "drain" }) == ExitStatus::NoNodeAnswered);
}

Test(Explain, printsTheNodesFields)
{
    CliFixture cli(1);
    cli.nodes.node(1).extraAnswers["explain"] =
            OperatorsApi::json(200, R"({"job":"nightly","waiting":[{"task":3,"reason":"quota"}]})");
    cr_assert(cli.run({ "explain", "job", "nightly" }) == ExitStatus::Done);
    cr_assert_eq(cli.out.str(),
                 "job: nightly\nwaiting:\n  -\n    reason: quota\n"
                 "    task: 3\n");
    cr_assert(cli.run({ "explain", "task", "nightly#3" }) == ExitStatus::Done);
    cr_assert(cli.run({ "--output", "json", "explain", "request" }) == ExitStatus::Done);
    cr_assert(nlohmann::json::parse(cli.out.str()).at("job") == "nightly");
}

Test(Explain, reportsThatANodeHasNoExplanation)
{
    CliFixture cli(1);
    cr_assert(cli.run({ "explain", "job", "nightly" }) == ExitStatus::Refused);
    cr_assert(contains(cli.err, "the node has no explanation of job nightly"));
}

Test(Completion, offersAllCommandsAndOptions)
{
    for (const std::string shell : { "bash", "zsh" }) {
        CliFixture cli(0);
        cr_assert(cli.run({ "completion", shell }) == ExitStatus::Done);
        for (const auto names : { commandNames(), optionNames() }) {
            for (const std::string_view name : names) {
                cr_expect(contains(cli.out, name));
            }
        }
    }
}

Test(Table, replacesControlCharacters)
{
    Table table({ "NAME" });
    table.add({ "a\x1b[2J" });
    cr_assert_eq(table.text(), "NAME\na?[2J\n");
}
