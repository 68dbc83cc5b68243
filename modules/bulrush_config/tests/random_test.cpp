#include "ConfigWorld.h"

#include <criterion/criterion.h>
#include <cstdlib>
#include <rapidcheck.h>

using namespace bulrush;

namespace {

const std::vector<std::string> seeds {
    R"({"schema":"service/2","kind":"service","name":"review","id":"a","supersedes":"",)"
    R"("publisher":"op","body":{"team":"kask","targets":[{"target":"e1","dataCentre":"d1",)"
    R"("address":"127.0.0.1","port":19101,"slots":8}],"deadlineMs":200,"replicas":3}})",
    R"({"schema":"job/1","kind":"job","name":"nightly","id":"b","supersedes":"","publisher":"op",)"
    R"("body":{"team":"kask","tasks":4,"batchClass":"risk","cpuMilli":500,"memoryMb":100,)"
    R"("accelerators":0,"runMs":60000,"urgent":true,"dataCentre":"d1"}})",
    R"({"schema":"policy/1","kind":"policy","name":"kask","id":"c","supersedes":"",)"
    R"("publisher":"op","body":{"tailLatency":5,"throughput":1.5,"evictions":1}})",
    R"({"schema":"settings/1","node":"n","dataCentre":"d","callers":{"address":"::1","port":1},)"
    R"("operators":{"address":"127.0.0.1","port":2,"key":"k"},"peersListen":{"address":"::1",)"
    R"("port":3},"peers":[],"platform":[{"address":"127.0.0.1","port":4}],)"
    R"("limits":{"maxConnections":5},"times":{"leaseMs":20000}})",
};

const std::vector<std::string> fragments {
    "{",    "}",       "[",     "]",      "\"",   ",",     ":",
    "null", "-1",      "1e999", "0",      "true", "\"x\"", "{}",
    "[[]]", "\\u0000", "\xff",  "\"id\"", "9e18", "\"\"",  "99999999999999999999",
    "/2",   "job",     " ",
};

/** Mutates a text; each number selects a position and a mutation. */
std::string mutated(std::string text, const std::vector<std::uint32_t> &choices)
{
    for (const std::uint32_t choice : choices) {
        const std::size_t place = text.empty() ? 0 : choice % text.size();
        const std::size_t length = choice / 4096 % 12;
        const std::string &fragment = fragments[choice / 65'536 % fragments.size()];
        switch (choice / 8'192 % 4) {
        case 0:
            text.replace(place, length, fragment);
            break;
        case 1:
            text.insert(place, fragment);
            break;
        case 2:
            text.insert(place, text.substr(place / 2, 4 * length));
            break;
        default:
            text.erase(place, length);
            break;
        }
    }
    return text;
}

bool namesField(const FieldProblem &problem)
{
    const bool isPointer = problem.field.empty() || problem.field.front() == '/';
    return isPointer && !problem.found.empty() && !problem.expected.empty();
}

std::string mutatedSeed()
{
    const std::string &seed = *rc::gen::elementOf(seeds);
    return mutated(
            seed,
            *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::arbitrary<std::uint32_t>()));
}

/** Returns the script step that a number encodes; every record gets a unique id. */
std::string stepOf(int choice, std::size_t number)
{
    const int argument = choice / 12;
    const std::string node = "n" + std::to_string(argument % 3);
    const std::string id = "r" + std::to_string(number);
    const std::string earlier =
            "r" + std::to_string(static_cast<std::size_t>(argument) % (number + 1));
    const std::string schema = argument % 3 == 0 ? "service/2" : "service/1";
    const std::string value = argument % 5 == 0 ? "0" : "5";
    std::string publish =
            "publish service s at=" + node + " id=" + id + " schema=" + schema + " value=" + value;
    switch (choice % 12) {
    case 0:
    case 1:
        return "read n" + std::to_string(argument % 3);
    case 2:
        return publish + " supersedes=" + earlier;
    case 3:
        return publish + " supersedes=";
    case 4:
        return publish + " answer=lost";
    case 5:
        return "peer-state n0 n1";
    case 6:
        return "publish quota kask id=" + id + " at=" + node + " value=3";
    default:
        return publish;
    }
}

std::string scriptOf(const std::vector<int> &choices)
{
    // n2 runs old software and publishes no records of the newer version.
    std::string script = "node n0\nnode n1 dc=dc2\nnode n2 knows=service/1\n";
    for (std::size_t number = 0; number < choices.size(); ++number) {
        script += stepOf(choices[number], number) + "\n";
    }
    return script + "read\nexpect-same n0 n1\nexpect-accepted-by n2 n0\n";
}

} // namespace

Test(Random, mutatedTextsAreRefusedWithTheField)
{
    setenv("RC_PARAMS", "seed=4502 max_success=20000 max_size=8", 1);
    const bool passed = rc::check("a refusal names the field", [] {
        const std::string text = mutatedSeed();
        const CheckedRecord checked = checkRecord(text);
        RC_ASSERT(checked.record || checked.problem);
        RC_ASSERT(!checked.problem || namesField(*checked.problem));
        RecordState state;
        const Verdict verdict = state.apply(0, text);
        RC_ASSERT((verdict.outcome == RecordOutcome::Accepted) == !checked.problem);
        RecordState::importText(state.exportText());
    });
    cr_assert(passed);
}

Test(Random, mutatedSettingsAreReadOrRefused)
{
    setenv("RC_PARAMS", "seed=4502 max_success=20000 max_size=8", 1);
    const bool passed = rc::check("settings are read or refused", [] {
        try {
            readSettings(mutatedSeed());
        } catch (const Error &error) {
            RC_ASSERT(std::string(error.what()).find(": found ") != std::string::npos);
        }
    });
    cr_assert(passed);
}

Test(Random, mutatedStatesAreReadOrRefused)
{
    setenv("RC_PARAMS", "seed=4502 max_success=5000 max_size=8", 1);
    const bool passed = rc::check("states are read or refused", [] {
        RecordState state;
        for (const std::string &seed : seeds) {
            state.apply(state.nextOffset(), seed);
        }
        const auto choices = *rc::gen::container<std::vector<std::uint32_t>>(
                rc::gen::arbitrary<std::uint32_t>());
        LogFollower follower;
        try {
            follower.adoptPeerState(mutated(state.exportText(), choices));
        } catch (const Error &) {
            RC_ASSERT(follower.state().nextOffset() == 0U);
        }
        SnapshotAssembler assembler;
        assembler.add(mutated(snapshotParts(state).front(), choices));
    });
    cr_assert(passed);
}

Test(Random, nodesAgreeAfterAnyInterleaving)
{
    setenv("RC_PARAMS", "seed=4502 max_success=2000 max_size=80", 1);
    const bool passed = rc::check("nodes agree", [] {
        const auto choices = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100'000));
        test::ConfigWorld world;
        scenario::Interpreter interpreter;
        world.bindTo(interpreter);
        interpreter.run(scriptOf(choices), "random");
    });
    cr_assert(passed);
}
