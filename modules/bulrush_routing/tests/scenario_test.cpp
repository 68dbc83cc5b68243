#include "RoutingWorld.h"

#include <criterion/criterion.h>

#include <exception>

using namespace bulrush;

Test(Scenarios, routing)
{
    const std::string folder = BULRUSH_SOURCE_DIR "/scenarios/routing";
    for (const std::string &path : scenario::scriptsIn(folder)) {
        routing::RoutingWorld world;
        scenario::Interpreter interpreter;
        world.bindTo(interpreter);
        try {
            cr_expect_gt(interpreter.runFile(path), 0U);
        } catch (const std::exception &error) {
            cr_expect(false, "%s: %s", path.c_str(), error.what());
        }
    }
}
