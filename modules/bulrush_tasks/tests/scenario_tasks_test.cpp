#include "ScenarioWorld.h"

#include <criterion/criterion.h>

#include <iostream>

using namespace bulrush;
using namespace bulrush::explorer;

namespace {

std::vector<std::string> scripts()
{
    return scenario::scriptsIn(std::string(BULRUSH_SOURCE_DIR) + "/scenarios/tasks");
}

} // namespace

Test(Scenario, allPass)
{
    for (const std::string &path : scripts()) {
        ScenarioWorld world("");
        try {
            world.runFile(path);
        } catch (const std::exception &error) {
            cr_expect(false, "%s: %s", path.c_str(), error.what());
        }
        for (const std::string &line : world.measured()) {
            std::cout << line.substr(line.rfind('/') + 1) << '\n';
        }
    }
}

/** Each scenario must fail when any one of the guards that it names is disabled. */
Test(Scenario, eachFailsWithoutItsGuards)
{
    for (const std::string &path : scripts()) {
        ScenarioWorld withAllGuards("");
        try {
            withAllGuards.runFile(path);
        } catch (const std::exception &) {
            continue; // reported by allPass
        }
        for (const std::string &guard : withAllGuards.guards()) {
            ScenarioWorld without(guard);
            bool failed = false;
            try {
                without.runFile(path);
            } catch (const std::exception &error) {
                failed = true;
                std::cout << path.substr(path.rfind('/') + 1) << " without " << guard << ": "
                          << error.what() << '\n';
            }
            cr_expect(failed, "%s passes without %s", path.c_str(), guard.c_str());
        }
    }
}
