#include "FakeNodes.h"

#include <criterion/criterion.h>

#include <thread>

using namespace bulrush;

namespace {

constexpr std::uint16_t answeringPort = 18300;
constexpr std::uint16_t closedPort = 18301;

/** Runs the daemon's operators' API in a separate thread. */
class OperatorsApiServer
{
public:
    OperatorsApiServer()
        : api(this->loop, { "127.0.0.1", answeringPort }, "secret")
    {
        this->api.bind("GET", "records",
                       [](const HttpRequest &, const auto &rest, const auto &reply) {
                           reply(recordsAnswer(RecordState(), rest));
                       });
        this->thread = std::thread([this] { this->loop.run(); });
    }

    ~OperatorsApiServer()
    {
        this->loop.stop();
        this->thread.join();
    }

private:
    EventLoop loop;
    OperatorsApi api;
    std::thread thread;
};

} // namespace

Test(Http, triesTheNextNodeAndSendsTheKey)
{
    const OperatorsApiServer served;
    HttpOperatorsClient client;
    const SystemClock clock;
    std::ostringstream out;
    std::ostringstream err;
    const CliContext context { client, clock, randomRecordId, out, err, {} };
    const std::vector<std::string> nodes { "--node", "127.0.0.1:" + std::to_string(closedPort),
                                           "--node", "127.0.0.1:" + std::to_string(answeringPort),
                                           "list" };
    cr_assert(runCli(nodes, context) == ExitStatus::Refused);
    cr_assert(contains(err, "the node refuses the key"));
    std::vector<std::string> withKey { "--key", "secret" };
    withKey.insert(withKey.end(), nodes.begin(), nodes.end());
    cr_assert(runCli(withKey, context) == ExitStatus::Done, "%s", err.str().c_str());
    cr_assert(contains(out, "KIND"));
}

Test(Http, reportsThatNoNodeAnswered)
{
    HttpOperatorsClient client;
    const SystemClock clock;
    std::ostringstream out;
    std::ostringstream err;
    const CliContext context { client, clock, randomRecordId, out, err, {} };
    const std::string node = "127.0.0.1:" + std::to_string(closedPort);
    cr_assert(runCli({ "--node", node, "status" }, context) == ExitStatus::NoNodeAnswered);
}

Test(RecordId, differsEachTime)
{
    cr_assert(randomRecordId() != randomRecordId());
}
