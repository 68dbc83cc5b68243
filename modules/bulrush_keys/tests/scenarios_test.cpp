#include "KeyWorld.h"

#include <criterion/criterion.h>

using namespace bulrush;

Test(KeyScenarios, allPass)
{
    for (const std::string &path : scenario::scriptsIn(BULRUSH_SOURCE_DIR "/scenarios/keys")) {
        test::KeyWorld world;
        scenario::Interpreter interpreter;
        world.bindTo(interpreter);
        try {
            interpreter.runFile(path);
        } catch (const Error &error) {
            cr_assert(false, "%s", error.what());
        }
    }
}
