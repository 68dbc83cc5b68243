#pragma once

#include "explorer/Mutations.h"

#include "bulrush_scenario/bulrush_scenario.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bulrush::explorer {

/** Binds the verbs of the scripts in scenarios/tasks to a World. */
class ScenarioWorld
{
public:
    /** @param disabledGuard the mutation to apply; empty for none */
    explicit ScenarioWorld(const std::string &disabledGuard);

    /** Runs a script. @throws Error or InvariantViolation when it fails */
    void runFile(const std::string &path);

    /** Returns the guards that the script names; it must fail when any one of them is disabled. */
    const std::vector<std::string> &guards() const { return this->namedGuards; }

    /** Returns the measurements as lines of text, such as the longest interruption of a watcher. */
    const std::vector<std::string> &measured() const { return this->measurements; }

private:
    void bindSetUp();
    void bindFaults();
    void bindWorkerFaults();
    void bindExpectations();
    void bindMeasurements();
    World &world();
    void run(Duration span);
    void waitFor(const scenario::Step &step, const std::function<bool()> &condition);
    void addWorker(const scenario::Step &step);
    void addJob(const scenario::Step &step);

    /** The time in which a tracked task did not run after its first start. */
    struct Gap
    {
        Duration current {};
        Duration longest {};
        bool started = false;
    };

    scenario::Interpreter interpreter;
    WorldOptions options;
    std::unique_ptr<World> instance;
    std::vector<std::string> namedGuards;
    std::vector<std::string> measurements;
    std::map<TaskId, Gap> gaps;
};

} // namespace bulrush::explorer
