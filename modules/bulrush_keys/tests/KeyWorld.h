#pragma once

#include "bulrush_core/bulrush_core.h"
#include "bulrush_keys/bulrush_keys.h"
#include "bulrush_scenario/bulrush_scenario.h"

#include <map>
#include <string>
#include <vector>

namespace bulrush::test {

/**
    Simulates the keys stream of the log, nodes that admit keyed requests, and a target that counts
    the runs of each key's request. Fails if a request runs twice, or if "not run" is answered for
    a request that ran.
*/
class KeyWorld
{
public:
    /** Binds the verbs of the key scenarios to this object. */
    void bindTo(scenario::Interpreter &interpreter);

private:
    using Step = scenario::Step;

    struct Node
    {
        KeyAdmission admission { KeyValidity {}, seconds(2),
                                 AppendPace { Duration(0), Duration(0) } };
        bool canReachLog = true;
    };

    void addNode(const Step &step);
    void arrive(const Step &step);
    void append(const Step &step);
    void read(const Step &step);
    void setLog(const Step &step);
    void end(const Step &step);
    void retainLast(const Step &step);
    void advance(const Step &step);
    void expect(const Step &step);

    Node &node(const Step &step, const std::string &name);
    std::string key(const std::string &name, std::int64_t age = 0);
    void readInto(const Step &step, Node &reader);
    void takeAnswers(const Step &step, Node &from);

    ManualClock clock;
    std::vector<std::string> log;
    std::vector<std::string> delayed;
    std::uint64_t firstRetained = 0;
    std::map<std::string, Node> nodes;
    std::map<std::string, std::string> keys;
    std::map<std::string, std::string> keyOfArrival;
    std::map<std::string, std::string> nodeOfArrival;
    std::map<std::string, KeyAnswer> answers;
    std::map<std::string, int> runs;
};

} // namespace bulrush::test
