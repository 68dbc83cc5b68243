#pragma once

#include "bulrush_scenario/script/Step.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush::scenario {

/** Runs scripts, one bound function a verb. */
class Interpreter
{
public:
    using Action = std::function<void(const Step &)>;

    /** Binds a verb; a later binding of the same verb replaces the earlier. */
    void bind(std::string_view verb, Action action);

    /** Runs a script's text. @throws Error at the first step that fails or is unknown */
    void run(std::string_view script, std::string_view fileName) const;

    /** Runs a script file. @returns how many steps ran */
    std::size_t runFile(const std::string &path) const;

private:
    std::size_t runLines(std::string_view script, std::string_view fileName) const;

    std::map<std::string, Action, std::less<>> actions;
};

/** Returns the paths of all scripts ("*.scenario") in a folder, sorted by name.
    @throws Error when there is none
*/
std::vector<std::string> scriptsIn(const std::string &folder);

} // namespace bulrush::scenario
