#pragma once

#include "bulrush_cli/bulrush_cli.h"
#include "bulrush_config/bulrush_config.h"
#include "bulrush_core/bulrush_core.h"
#include "bulrush_node/operators/OperatorAnswers.h"

#include <deque>
#include <functional>
#include <map>
#include <sstream>
#include <string>
#include <vector>

namespace bulrush {

/** A node that answers operators' requests as the daemon does, but without sockets. */
struct FakeNode
{
    std::string name;
    bool isReachable = true;

    /** Whether the node has stopped reading the log. */
    bool isStalled = false;

    /** The number of upcoming appends that take effect but whose answer is lost. */
    int appendsWithLostAnswer = 0;

    /** The number of upcoming appends that take no effect and are answered with 504. */
    int appendsWithUnknownOutcome = 0;

    std::string key;
    RecordState state;
    std::deque<Verdict> verdicts;
    std::map<std::string, HttpResponse> extraAnswers;
    int calls = 0;

    /** The number of calls that were sent to this node only. */
    int singleNodeCalls = 0;
};

/** Nodes that read one shared log, and a clock that advances only when the tool pauses. */
class FakeNodes : public OperatorsClient
{
public:
    /** @param count the number of nodes, whose endpoints are 10.0.0.1:9100 and so on */
    explicit FakeNodes(int count);

    std::vector<CallResult> callAll(std::span<const Endpoint> endpoints, const HttpRequest &request,
                                    Duration timeout) override;
    void pause(Duration span) override;

    /** Appends a record; all nodes that are not stalled read it at once. */
    void append(const std::string &text);

    FakeNode &node(int number) { return this->nodes[static_cast<std::size_t>(number - 1)]; }

    std::size_t logLength() const { return this->log.size(); }

    /** Called before an append takes effect, for instance to append another record first. */
    std::function<void()> beforeAppend;

    ManualClock clock;

private:
    CallResult answer(FakeNode &node, const HttpRequest &request);
    CallResult publish(FakeNode &node, const HttpRequest &request);
    HttpResponse read(FakeNode &node, const std::vector<std::string> &path);
    std::string status(const FakeNode &node) const;
    void readLog();

    std::vector<FakeNode> nodes;
    std::vector<std::string> log;
};

/** Runs the tool with fake nodes. */
struct CliFixture
{
    explicit CliFixture(int nodeCount);

    /** Removes the files written by file(). */
    ~CliFixture();

    CliFixture(const CliFixture &) = delete;
    CliFixture &operator=(const CliFixture &) = delete;

    /** Runs one command line. The environment names all nodes. */
    ExitStatus run(const std::vector<std::string> &arguments);

    /** Writes a record file and returns its path. */
    std::string file(const std::string &name, const std::string &text);

    FakeNodes nodes;
    CliEnvironment environment;
    std::ostringstream out;
    std::ostringstream err;
    int idCount = 0;
    std::vector<std::string> files;
};

/** Returns a service record without id, publisher and supersedes. */
std::string serviceFile(int deadlineMs);

/** Returns a complete service record. */
std::string serviceRecord(const std::string &id, const std::string &supersedes,
                          const std::string &publisher, int deadlineMs);

/** Returns whether the stream's text contains part. */
bool contains(const std::ostringstream &stream, std::string_view part);

} // namespace bulrush
