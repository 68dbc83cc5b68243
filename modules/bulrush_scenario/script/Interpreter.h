#pragma once

#include "bulrush_scenario/script/Step.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bulrush::scenario {

/** Runs scripts by calling the function that is bound to each step's verb. */
class Interpreter
{
public:
    using Action = std::function<void(const Step &)>;

    /** Binds a verb to a function; replaces an earlier binding of the same verb. */
    void bind(std::string_view verb, Action action);

    /** Runs a script given as text.
        @throws Error at the first step that fails or has an unknown verb */
    void run(std::string_view script, std::string_view fileName) const;

    /** Runs a script file. @returns the number of steps that were run
        @throws Error if the file cannot be read, contains no steps or a step fails */
    std::size_t runFile(const std::string &path) const;

private:
    std::size_t runLines(std::string_view script, std::string_view fileName) const;

    std::map<std::string, Action, std::less<>> actions;
};

/** Returns the paths of all scripts ("*.scenario") in a folder, sorted by name.
    @throws Error if there are none
*/
std::vector<std::string> scriptsIn(const std::string &folder);

} // namespace bulrush::scenario
