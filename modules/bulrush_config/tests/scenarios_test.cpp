#include "ConfigWorld.h"

#include <criterion/criterion.h>

using namespace bulrush;

Test(ConfigScenarios, allPass)
{
    for (const std::string &path : scenario::scriptsIn(BULRUSH_SOURCE_DIR "/scenarios/config")) {
        test::ConfigWorld world;
        scenario::Interpreter interpreter;
        world.bindTo(interpreter);
        try {
            interpreter.runFile(path);
        } catch (const Error &error) {
            cr_assert(false, "%s", error.what());
        }
    }
}
