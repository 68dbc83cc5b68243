#pragma once

#include "explorer/Mutations.h"

#include "bulrush_scenario/bulrush_scenario.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bulrush::explorer {

/** Binds the verbs of scenarios/tasks to a World. */
class ScenarioWorld
{
public:
    /** @param removedGuard the mutation to run with; empty for none */
    explicit ScenarioWorld(const std::string &removedGuard);

    /** Runs a script. @throws Error or Fault where it fails */
    void runFile(const std::string &path);

    /** Returns the guards that the script names: without any of them it must fail. */
    const std::vector<std::string> &guards() const { return this->namedGuards; }

    /** Returns the measured lines, such as the longest gap of a watcher. */
    const std::vector<std::string> &measured() const { return this->measurements; }

private:
    void bindSetUp();
    void bindTrouble();
    void bindWorkerTrouble();
    void bindExpectations();
    void bindMeasurements();
    World &world();
    void run(Duration span);
    void waitFor(const scenario::Step &step, const std::function<bool()> &condition);
    void addWorker(const scenario::Step &step);
    void addJob(const scenario::Step &step);

    /** How long a tracked task did not run. */
    struct Gap
    {
        Duration current {};
        Duration longest {};
        bool begun = false;
    };

    scenario::Interpreter interpreter;
    WorldOptions options;
    std::unique_ptr<World> instance;
    std::vector<std::string> namedGuards;
    std::vector<std::string> measurements;
    std::map<TaskId, Gap> gaps;
};

} // namespace bulrush::explorer
