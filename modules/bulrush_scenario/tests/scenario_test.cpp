#include "bulrush_core/bulrush_core.h"
#include "bulrush_scenario/bulrush_scenario.h"

#include <criterion/criterion.h>

using namespace bulrush;
using scenario::Interpreter;
using scenario::Step;

Test(Step, splitsVerbArgumentsAndOptions)
{
    const Step step("send \"two words\" 5 after=20ms # comment", "file:1");
    cr_assert_eq(step.verb(), "send");
    cr_assert_eq(step.argument(0), "two words");
    cr_assert_eq(step.number(1), 5);
    cr_assert(step.durationOption("after", seconds(0)) == milliseconds(20));
    cr_assert_eq(step.argumentCount(), 2U);
}

Test(Step, rejectsMalformedAndMissingArguments)
{
    const Step step("wait 5parsecs x", "file:1");
    cr_assert_throw(step.duration(0), Error);
    cr_assert_throw(step.number(1), Error);
    cr_assert_throw(step.argument(2), Error);
}

Test(Interpreter, runsBoundVerbsInOrder)
{
    Interpreter interpreter;
    std::string seen;
    interpreter.bind("add", [&seen](const Step &step) { seen += step.argument(0); });
    interpreter.run("add a\n\n# nothing\nadd b\n", "text");
    cr_assert_eq(seen, "ab");
}

Test(Interpreter, stopsAtAnUnknownVerbAndNamesTheLine)
{
    const Interpreter interpreter;
    try {
        interpreter.run("\nfly\n", "text");
        cr_assert(false, "an unknown verb was accepted");
    } catch (const Error &error) {
        cr_assert_eq(error.peer(), "text:2");
    }
}
