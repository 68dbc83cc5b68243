#include "KeyWorld.h"

#include <criterion/criterion.h>
#include <cstdlib>
#include <rapidcheck.h>

using namespace bulrush;

namespace {

std::string nodeOf(int choice)
{
    return "n" + std::to_string(choice % 3);
}

std::string rareStepOf(int choice)
{
    const std::string number = std::to_string(choice % 5);
    switch (choice % 6) {
    case 0:
        return "retain-last " + number;
    case 1:
        return "advance 2h";
    case 2:
        return "step-clock -" + number + "000";
    default:
        return "delayed-append-arrives";
    }
}

/** Returns the scenario step for a random choice. */
std::string stepOf(int choice, std::size_t number)
{
    const int argument = choice / 16;
    const std::string arrival = "a" + std::to_string(number);
    const std::string earlier =
            "a" + std::to_string(static_cast<std::size_t>(argument) % (number + 1));
    switch (choice % 16) {
    case 0:
        return "append " + nodeOf(argument) + " lost";
    case 1:
        return "append " + nodeOf(argument) + " vanished";
    case 2:
        return "append " + nodeOf(argument) + " delayed";
    case 3:
        return "append " + nodeOf(argument) + " refused";
    case 4:
        return rareStepOf(argument);
    case 5:
        return "node " + nodeOf(argument);
    case 6:
        return "log " + nodeOf(argument) + (argument % 2 == 0 ? " down" : " up");
    case 7:
        return "advance " + std::to_string(argument % 3000) + "ms";
    case 8:
        return "end " + earlier + " never-sent";
    case 9:
        return "end " + earlier + (argument % 2 == 0 ? " answered" : " unknown");
    case 10:
    case 11:
        return "read " + nodeOf(argument);
    case 12:
    case 13:
        return "append " + nodeOf(argument);
    default:
        return "arrive " + nodeOf(argument) + " " + arrival + " k" + std::to_string(argument % 2);
    }
}

std::string scriptOf(const std::vector<int> &choices)
{
    std::string script = "node n0\nnode n1\nnode n2\nread\n";
    for (std::size_t number = 0; number < choices.size(); ++number) {
        script += stepOf(choices[number], number) + "\n";
    }
    return script;
}

bool runScript(const std::string &script)
{
    test::KeyWorld world;
    scenario::Interpreter interpreter;
    world.bindTo(interpreter);
    interpreter.run(script, "random");
    return true;
}

} // namespace

Test(KeyScenarios, noInterleavingRunsAKeyTwice)
{
    setenv("RC_PARAMS", "seed=4502 max_success=4000 max_size=120", 1);
    const bool passed = rc::check("each key runs at most once", [] {
        const auto choices = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100'000));
        return runScript(scriptOf(choices));
    });
    cr_assert(passed);
}
