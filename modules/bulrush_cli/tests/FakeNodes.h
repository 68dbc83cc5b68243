#pragma once

#include "bulrush_cli/bulrush_cli.h"
#include "bulrush_config/bulrush_config.h"
#include "bulrush_core/bulrush_core.h"
#include "bulrush_node/operators/OperatorTexts.h"

#include <deque>
#include <functional>
#include <map>
#include <sstream>
#include <string>
#include <vector>

namespace bulrush {

/** A node that answers operators as the daemon does, without sockets. */
struct FakeNode
{
    std::string name;
    bool answers = true;

    /** Whether it reads the log no further. */
    bool isStalled = false;

    /** So many appends take effect but their answer is lost. */
    int lostAppendAnswers = 0;

    /** So many appends take no effect and are answered with 504. */
    int unclearAppends = 0;

    std::string key;
    RecordState state;
    std::deque<Verdict> verdicts;
    std::map<std::string, HttpResponse> extraAnswers;
    int calls = 0;

    /** Calls that went to this node and to no other at once. */
    int askedAlone = 0;
};

/** Nodes that follow one log, and the time, which moves only when the tool pauses. */
class FakeNodes : public OperatorsClient
{
public:
    /** @param count how many nodes, at 10.0.0.1:9100 and so on */
    explicit FakeNodes(int count);

    std::vector<CallResult> callAll(std::span<const Endpoint> endpoints, const HttpRequest &request,
                                    Duration timeout) override;
    void pause(Duration span) override;

    /** Appends a record and lets the nodes read it. */
    void append(const std::string &text);

    FakeNode &node(int number) { return this->nodes[static_cast<std::size_t>(number - 1)]; }

    /** Returns how many entries the log holds. */
    std::size_t logLength() const { return this->log.size(); }

    /** Called before an append takes effect: another operator may come first. */
    std::function<void()> beforeAppend;

    PausableClock clock;

private:
    CallResult answer(FakeNode &node, const HttpRequest &request);
    CallResult publish(FakeNode &node, const HttpRequest &request);
    HttpResponse read(FakeNode &node, const std::vector<std::string> &path);
    std::string status(const FakeNode &node) const;
    void catchUp();

    std::vector<FakeNode> nodes;
    std::vector<std::string> log;
};

/** Runs the tool against fake nodes. */
struct CliRun
{
    explicit CliRun(int nodeCount);

    /** Removes the files that it wrote. */
    ~CliRun();

    CliRun(const CliRun &) = delete;
    CliRun &operator=(const CliRun &) = delete;

    /** Runs one command line; all nodes are named in the environment. */
    ExitStatus run(const std::vector<std::string> &words);

    /** Writes a record file and returns its path. */
    std::string file(const std::string &name, const std::string &text);

    FakeNodes nodes;
    CliEnvironment environment;
    std::ostringstream out;
    std::ostringstream err;
    int idsGiven = 0;
    std::vector<std::string> files;
};

/** Returns a service record without id, publisher and supersedes. */
std::string serviceFile(int deadlineMs);

/** Returns a whole service record. */
std::string serviceRecord(const std::string &id, const std::string &supersedes,
                          const std::string &publisher, int deadlineMs);

/** Returns whether a text holds another. */
bool holds(const std::ostringstream &stream, std::string_view part);

} // namespace bulrush
