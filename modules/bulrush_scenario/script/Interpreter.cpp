#include "bulrush_scenario/script/Interpreter.h"

#include "bulrush_core/errors/Error.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace bulrush::scenario {

void Interpreter::bind(std::string_view verb, Action action)
{
    this->actions.insert_or_assign(std::string(verb), std::move(action));
}

void Interpreter::run(std::string_view script, std::string_view fileName) const
{
    this->runLines(script, fileName);
}

std::size_t Interpreter::runFile(const std::string &path) const
{
    std::ifstream file(path);
    if (!file) {
        throw Error("open script", path, "cannot be read");
    }
    std::stringstream text;
    text << file.rdbuf();
    const std::size_t steps = this->runLines(text.str(), path);
    if (steps == 0) {
        throw Error("run script", path, "contains no steps");
    }
    return steps;
}

std::size_t Interpreter::runLines(std::string_view script, std::string_view fileName) const
{
    std::istringstream lines { std::string(script) };
    std::string line;
    std::size_t steps = 0;
    for (std::size_t lineNumber = 1; std::getline(lines, line); ++lineNumber) {
        const Step step(line, std::string(fileName) + ":" + std::to_string(lineNumber));
        if (step.verb().empty()) {
            continue;
        }
        const auto action = this->actions.find(step.verb());
        step.require(action != this->actions.end(), "unknown verb");
        action->second(step);
        ++steps;
    }
    return steps;
}

std::vector<std::string> scriptsIn(const std::string &folder)
{
    std::vector<std::string> paths;
    for (const auto &entry : std::filesystem::directory_iterator(folder)) {
        if (entry.path().extension() == ".scenario") {
            paths.push_back(entry.path().string());
        }
    }
    if (paths.empty()) {
        throw Error("list scripts", folder, "contains no scripts");
    }
    std::sort(paths.begin(), paths.end());
    return paths;
}

} // namespace bulrush::scenario
