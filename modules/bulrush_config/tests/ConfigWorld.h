#pragma once

#include "bulrush_config/bulrush_config.h"
#include "bulrush_core/bulrush_core.h"
#include "bulrush_scenario/bulrush_scenario.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace bulrush::test {

/** A fake log of the configuration stream, and nodes that follow it. */
class ConfigWorld
{
public:
    /** Binds the verbs of the configuration scenarios. */
    void bindTo(scenario::Interpreter &interpreter);

private:
    struct Node
    {
        std::string dataCentre;
        LogFollower follower;
        std::map<std::string, Verdict> verdicts;
    };

    using Step = scenario::Step;

    void addNode(const Step &step);
    void publish(const Step &step);
    void fill(const Step &step);
    void finish(const Step &step);
    void writeSnapshot(const Step &step);
    void copyState(const Step &step);
    void retain(const Step &step);
    void readAll(const Step &step);
    void expectForce(const Step &step);
    void expectVerdict(const Step &step);
    void expectAcceptedBy(const Step &step);
    void expectStatus(const Step &step);

    Node &node(const Step &step, const std::string &name);
    void append(const std::string &text);
    void read(const Step &step, Node &reader);
    void readPage(const Step &step, Node &reader);

    ManualClock clock;
    std::vector<std::string> log;
    LogOffset firstRetained = 0;
    LogOffset pageSize = 7;
    std::set<std::string> cutOff;
    std::map<std::string, Node> nodes;
};

} // namespace bulrush::test
